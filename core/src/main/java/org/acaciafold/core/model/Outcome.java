package org.acaciafold.core.model;

/** What is known about the execution of a request or task after an attempt. */
public enum Outcome {
    /** It ran. */
    RAN,
    /** It provably did not run: it was never sent, or the worker rejected it. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
}
