package org.acaciafold.fleet;

import java.util.Objects;

/**
 * What is kept of a job that has ended.
 *
 * @param state its final state
 * @param endedAtMs when that was noted, in milliseconds since 1970
 */
public record EndedJob(JobState state, long endedAtMs) {
    /** Checks the state. */
    public EndedJob {
        Objects.requireNonNull(state, "state");
    }
}
