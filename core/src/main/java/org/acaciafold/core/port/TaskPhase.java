package org.acaciafold.core.port;

/** What a task on a worker is doing. */
public enum TaskPhase {
    /** It is being set up. */
    STARTING,
    /** It runs; a service replica answers live requests. */
    RUNNING,
    /** It writes a checkpoint and ends then. */
    CHECKPOINTING
}
