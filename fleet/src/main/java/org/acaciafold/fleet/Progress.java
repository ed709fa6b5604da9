package org.acaciafold.fleet;

import java.util.List;

/**
 * The durable record of what a job's tasks have achieved.
 *
 * @param state the job's state
 * @param steps the progress of steps of which a task has ended
 */
public record Progress(JobState state, List<StepProgress> steps) {
    /** Copies the steps. */
    public Progress {
        steps = List.copyOf(steps);
    }
}
