package org.acaciafold.core.port;

import java.util.List;

/** A request to the table service. */
public sealed interface TableRequest {
    /**
     * Reads rows by key; absent rows are left out of the answer.
     *
     * @param keys the keys
     */
    record Read(List<String> keys) implements TableRequest {}

    /**
     * Reads the rows of a prefix in key order.
     *
     * @param prefix the prefix
     * @param after the last key already read, empty at the start
     * @param limit the largest number of rows
     */
    record Scan(String prefix, String after, int limit) implements TableRequest {}

    /**
     * Writes all rows in one transaction when all checks hold, else none.
     *
     * @param checks the conditions
     * @param writes the writes
     */
    record Commit(List<Check> checks, List<Write> writes) implements TableRequest {}
}
