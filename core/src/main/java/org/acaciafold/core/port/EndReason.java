package org.acaciafold.core.port;

/** Why a task ended. */
public enum EndReason {
    /** The task completed successfully. */
    SUCCEEDED,
    /** The task failed without being stopped. */
    FAILED,
    /** The task was stopped after it wrote a checkpoint. */
    CHECKPOINTED,
    /** The task was stopped by a command. */
    STOPPED,
    /** The lease of the task expired. */
    EXPIRED
}
