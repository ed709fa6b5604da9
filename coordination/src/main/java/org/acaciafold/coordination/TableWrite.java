package org.acaciafold.coordination;

import java.util.List;
import java.util.Map;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/**
 * An atomic change of a few rows, written by {@link GroupCommit}.
 *
 * <p>The change must be idempotent: after a lost answer the same checks and writes are sent again, and the writer
 * recognizes its own rows in a conflict.
 */
interface TableWrite {
    /** Returns the checks that must hold, at least one for each written row. */
    List<Check> checks();

    /**
     * Notifies the writer that the change is durable.
     *
     * @param version the version of the written rows
     */
    void committed(long version);

    /**
     * Notifies the writer that a check failed and, unless an earlier attempt took effect, nothing was written.
     *
     * @param current the current rows of the checked keys; absent rows are omitted
     */
    void conflicted(Map<String, Row> current);

    /** Notifies the writer that the change is about to be sent. */
    default void sending() {
        // most changes ignore this
    }

    /** Notifies the writer of a missing answer; the change may be in effect and is sent again unless abandoned. */
    default void unanswered() {
        // most changes are repeated until they are answered
    }

    /** Returns whether the change is no longer needed; called before each attempt. */
    default boolean abandoned() {
        return false;
    }

    /** Returns the writes with the new contents of the rows. */
    List<Write> writes();
}
