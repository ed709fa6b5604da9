package org.acaciafold.fleet;

/** The outcome of an order to stop a run. */
public enum StopOutcome {
    /** The run is being stopped, or can never start. */
    STOPPED,
    /** Rejected: the worker has received a higher fencing token. */
    FENCED,
    /** The order got no answer, or one that cannot be interpreted. */
    UNKNOWN
}
