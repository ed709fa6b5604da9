package org.acaciafold.fleet.scheduling;

/** Why a worker that fits a task of a step when it is empty takes none now, in the order in which that is checked. */
enum UnusedReason {
    /** It does not meet a condition of {@link Eligibility}. */
    NOT_ELIGIBLE,
    /** Advice has left it out of an answer. */
    DENIED,
    /** Runs occupy its capacity. */
    NO_ROOM,
    /** As many tasks of the step run there as may. */
    MAX_PER_WORKER,
    /** Advice has not answered about it yet. */
    NOT_ASKED,
    /** Advice allows it, and the step has no valid ticket for it. */
    NO_TICKET,
    /** Nothing about the worker: a limit, a reservation or the rest of a gang holds the step back. */
    NONE
}
