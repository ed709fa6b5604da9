package org.acaciafold.coordination;

import java.util.List;
import java.util.Map;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/**
 * A change of a few rows that belongs together, written by {@link GroupCommit}.
 *
 * <p>It must be idempotent: after a lost answer the same checks and writes are sent again, and the writer recognizes
 * its own rows in a conflict.
 */
interface TableWrite {
    /** Returns the conditions, at least one for each row written. */
    List<Check> checks();

    /**
     * Tells that the change is durable.
     *
     * @param version the version of the rows written
     */
    void committed(long version);

    /**
     * Tells that a check failed and, unless an earlier try took effect, nothing was written.
     *
     * @param current the present rows of the checked keys; absent rows are left out
     */
    void conflicted(Map<String, Row> current);

    /** Tells that the change is about to be sent. */
    default void sending() {
        // most changes need not know
    }

    /** Tells that no answer came; the change may have taken effect and is sent again unless it is abandoned. */
    default void unanswered() {
        // most changes are repeated until they are answered
    }

    /** Returns whether nobody waits for the change any more; asked before each try. */
    default boolean abandoned() {
        return false;
    }

    /** Returns the new contents. */
    List<Write> writes();
}
