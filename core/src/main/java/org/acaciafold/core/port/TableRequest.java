package org.acaciafold.core.port;

import java.util.List;

/** A request to the table service. */
public sealed interface TableRequest {
    /**
     * Reads rows by key; the reply omits absent rows.
     *
     * @param keys the keys
     */
    record Read(List<String> keys) implements TableRequest {}

    /**
     * Reads the rows whose keys have a prefix, in key order.
     *
     * @param prefix the key prefix
     * @param after the last key that was read, empty for the first page
     * @param limit the maximum number of rows
     */
    record Scan(String prefix, String after, int limit) implements TableRequest {}

    /**
     * Writes all rows in one transaction if all checks hold, and none otherwise.
     *
     * @param checks the preconditions
     * @param writes the writes
     */
    record Commit(List<Check> checks, List<Write> writes) implements TableRequest {}
}
