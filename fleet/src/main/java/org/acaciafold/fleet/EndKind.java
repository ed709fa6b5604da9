package org.acaciafold.fleet;

/** The way in which a run ended. */
public enum EndKind {
    /** The task's work is complete. */
    DONE,
    /** The run failed because of an error in the task or on its worker. */
    FAILED,
    /** The run was stopped by a stop order. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** The run ended because another member of its gang had ended. */
    BROKEN,
    /** The run ended because the other members of its gang did not start in time. */
    ALONE
}
