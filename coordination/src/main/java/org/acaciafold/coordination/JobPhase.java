package org.acaciafold.coordination;

/** How far a job is. */
public enum JobPhase {
    /** None of its tasks runs. */
    WAITING,
    /** Some of its tasks run. */
    RUNNING,
    /** All of its tasks succeeded. */
    SUCCEEDED,
    /** It ended and a task failed, or it can never run. */
    FAILED,
    /** It was cancelled and nothing of it runs. */
    CANCELLED
}
