package org.acaciafold.core.model;

/** What is known of a request or task after an attempt. */
public enum Outcome {
    /** It ran. */
    RAN,
    /** It provably did not run: it never left, or the worker refused it. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
}
