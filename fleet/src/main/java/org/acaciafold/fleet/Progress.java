package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;

/**
 * The durable record of a job's progress.
 *
 * @param state the job's state
 * @param steps the progress of the steps that have a completed task or a failed run
 * @param completedOccurrences all occurrences below this one are completed, and left out of the steps
 */
public record Progress(JobState state, List<StepProgress> steps, int completedOccurrences) {
    /** Rejects a missing state and copies the steps. */
    public Progress {
        Objects.requireNonNull(state, "state");
        steps = List.copyOf(steps);
    }

    /**
     * Creates the record of a job without occurrences that are left out.
     *
     * @param state the job's state
     * @param steps the progress of the steps that have a completed task or a failed run
     */
    public Progress(JobState state, List<StepProgress> steps) {
        this(state, steps, 0);
    }
}
