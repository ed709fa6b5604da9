package org.acaciafold.coordination;

/** The phase of a job. */
public enum JobPhase {
    /** None of its tasks is running. */
    WAITING,
    /** At least one of its tasks is running. */
    RUNNING,
    /** All of its tasks have succeeded. */
    SUCCEEDED,
    /** It has ended and a task failed, or it can never run. */
    FAILED,
    /** It was cancelled and none of its tasks is running. */
    CANCELLED
}
