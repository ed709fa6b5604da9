package org.acaciafold.core.port;

import java.util.List;

/** A reply of the table service. */
public sealed interface TableReply {
    /**
     * The rows that were read.
     *
     * @param rows the rows in key order
     */
    record Rows(List<Row> rows) implements TableReply {}

    /**
     * The transaction was committed.
     *
     * @param version the version of all rows that it wrote
     */
    record Committed(long version) implements TableReply {}

    /**
     * A check failed and nothing was written.
     *
     * @param current the current rows of the checked keys
     */
    record Conflict(List<Row> current) implements TableReply {}

    /**
     * No reply was received; a write may have been committed.
     *
     * @param reason the error that occurred
     */
    record Unavailable(String reason) implements TableReply {}
}
