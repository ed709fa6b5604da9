package org.acaciafold.fleet;

import java.util.Objects;

/**
 * The summary that is kept of an ended job.
 *
 * @param state its final state
 * @param endedAtMs when the scheduler observed the end, in milliseconds since 1970
 */
public record EndedJob(JobState state, long endedAtMs) {
    /** Checks the state. */
    public EndedJob {
        Objects.requireNonNull(state, "state");
    }
}
