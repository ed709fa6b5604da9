package org.acaciafold.fleet;

/** What is known of an order to start a task. */
public enum StartOutcome {
    /** The run is there. */
    STARTED,
    /** Refused: the worker has seen a higher fencing token. */
    FENCED,
    /** Refused: the number of the run is not above that of a run stopped or ended there. */
    OLD_RUN,
    /** Refused: the lease in the order had run out. */
    TOO_LATE,
    /** Refused: no room. */
    NO_ROOM,
    /** Refused: no valid ticket. */
    NO_TICKET,
    /** Refused by an unhealthy worker, or malformed; nothing was done. */
    REFUSED,
    /** No answer: it may run, or may run later. */
    UNKNOWN
}
