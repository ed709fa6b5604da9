package org.acaciafold.fleet;

/** How a run ended. */
public enum EndKind {
    /** The task's work is complete. */
    DONE,
    /** The task failed, through its own fault or its worker's. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come in time. */
    ALONE
}
