package org.acaciafold.core.port;

import java.util.List;

/** An answer of the table service. */
public sealed interface TableReply {
    /**
     * The rows read.
     *
     * @param rows the rows in key order
     */
    record Rows(List<Row> rows) implements TableReply {}

    /**
     * The transaction took effect.
     *
     * @param version the version of each row it wrote
     */
    record Committed(long version) implements TableReply {}

    /**
     * A check failed and nothing was written.
     *
     * @param current the present rows of the checked keys
     */
    record Conflict(List<Row> current) implements TableReply {}

    /**
     * No answer came; a write may have taken effect.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements TableReply {}
}
