package org.acaciafold.standin;

/**
 * What is wrong with a worker.
 *
 * @param mode the kind of fault
 */
public record WorkerFault(Mode mode) {
    /** The kinds of fault. */
    public enum Mode {
        /** Nothing is wrong. */
        NONE,
        /** Every task fails. */
        FAIL_EVERYTHING,
        /** It is about to leave. */
        LEAVE,
        /** It answers nothing and its tasks stand still. */
        FREEZE
    }
}
