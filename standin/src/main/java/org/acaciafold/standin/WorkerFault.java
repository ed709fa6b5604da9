package org.acaciafold.standin;

/**
 * A fault that an emulated worker injects.
 *
 * @param mode the kind of fault
 */
public record WorkerFault(Mode mode) {
    /** The kinds of fault. */
    public enum Mode {
        /** No fault. */
        NONE,
        /** Every task fails immediately after it starts. */
        FAIL_EVERYTHING,
        /** The worker is about to leave the cluster and starts no further task. */
        LEAVE,
        /** The worker answers neither commands nor live requests, and its tasks make no progress. */
        FREEZE
    }
}
