package org.acaciafold.core.port;

/** The phase of a task on a worker. */
public enum TaskPhase {
    /** The task is being set up. */
    STARTING,
    /** The task runs; a service replica answers live requests. */
    RUNNING,
    /** The task writes a checkpoint and then ends. */
    CHECKPOINTING
}
