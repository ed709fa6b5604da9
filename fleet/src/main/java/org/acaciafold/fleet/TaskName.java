package org.acaciafold.fleet;

import java.util.Objects;

/**
 * Identifies one task of a job.
 *
 * @param job the job's identifier
 * @param occurrence the occurrence, counting from 0
 * @param step the index of the step
 * @param index the index of the task in its step
 */
public record TaskName(String job, int occurrence, int step, int index) {
    /** Rejects a missing job. */
    public TaskName {
        Objects.requireNonNull(job, "job");
    }

    /**
     * Returns the name of the step that the task belongs to.
     *
     * @return the name of the step
     */
    public StepName stepName() {
        return new StepName(job, occurrence, step);
    }
}
