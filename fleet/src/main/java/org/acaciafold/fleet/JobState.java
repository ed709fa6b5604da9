package org.acaciafold.fleet;

/** What consumers are told of a job. */
public enum JobState {
    /** Accepted, and no task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have ended as done. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Cancelled by its consumer. */
    CANCELLED;

    /**
     * Tells whether the state is final.
     *
     * @return true when it never changes again
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
