package org.acaciafold.core.port;

/** Why a task ended. */
public enum EndReason {
    /** It did its work. */
    SUCCEEDED,
    /** It failed by itself. */
    FAILED,
    /** It was stopped after a checkpoint. */
    CHECKPOINTED,
    /** It was stopped by a command. */
    STOPPED,
    /** Its lease ran out. */
    EXPIRED
}
