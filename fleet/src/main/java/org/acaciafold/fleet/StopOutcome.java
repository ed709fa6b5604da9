package org.acaciafold.fleet;

/** What is known of an order to stop a run. */
public enum StopOutcome {
    /** The run ends now, or will never start. */
    STOPPED,
    /** Refused: the worker has seen a higher fencing token. */
    FENCED,
    /** No answer, or no usable one. */
    UNKNOWN
}
