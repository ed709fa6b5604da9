package org.acaciafold.fleet;

/** The outcome of an order to start a task. */
public enum StartOutcome {
    /** The run exists on the worker. */
    STARTED,
    /** Rejected: the worker has received a higher fencing token. */
    FENCED,
    /** Rejected: the number of the run is not above that of a run that was stopped or has ended on the worker. */
    OLD_RUN,
    /** Rejected: the lease in the order had expired. */
    TOO_LATE,
    /** Rejected: the worker does not have enough free capacity. */
    NO_ROOM,
    /** Rejected: the order includes no valid ticket. */
    NO_TICKET,
    /** Rejected because the worker is unhealthy or the order is malformed; the order had no effect. */
    REFUSED,
    /** The order got no answer: the task may be running, or may start later. */
    UNKNOWN
}
