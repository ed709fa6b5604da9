package org.acaciafold.fleet;

/** The state of a job as reported to clients. */
public enum JobState {
    /** The job is accepted, and none of its tasks has started. */
    QUEUED,
    /** At least one task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task has reached the maximum number of failed runs of its queue. */
    FAILED,
    /** A client has cancelled the job. */
    CANCELLED;

    /**
     * Returns whether the state is final.
     *
     * @return true when the state cannot change any more
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
