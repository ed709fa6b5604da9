package org.acaciafold.core.port;

/** How a worker stops a task. */
public enum StopMode {
    /** Write a checkpoint, then end; the next attempt resumes from it. */
    CHECKPOINT,
    /** Finish the live requests in flight, then end. */
    DRAIN,
    /** End immediately. */
    KILL
}
