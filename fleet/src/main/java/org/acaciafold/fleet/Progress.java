package org.acaciafold.fleet;

import java.util.List;

/**
 * The durable record of a job's progress.
 *
 * @param state the job's state
 * @param steps the progress of the steps that have a completed task or a failed run
 */
public record Progress(JobState state, List<StepProgress> steps) {
    /** Copies the steps. */
    public Progress {
        steps = List.copyOf(steps);
    }
}
