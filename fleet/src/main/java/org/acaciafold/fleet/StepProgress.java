package org.acaciafold.fleet;

import java.util.List;

/**
 * The durable record of one step of one occurrence.
 *
 * @param occurrence the occurrence, counting from 0
 * @param step the index of the step
 * @param done the tasks that are done, a bit each, as {@link java.util.BitSet#toByteArray()} writes them
 * @param failures the failed runs of each task that has any
 * @param failedGangRuns the failed runs of the gang as a whole
 * @param lastGangFailure the number of the last failed run of the gang, 0 for none
 */
public record StepProgress(
        int occurrence, int step, byte[] done, List<TaskFailures> failures, int failedGangRuns, int lastGangFailure) {
    /** Copies the failures. */
    public StepProgress {
        failures = List.copyOf(failures);
    }

    /**
     * The failed runs of a task.
     *
     * @param task the index of the task
     * @param count how many runs have failed
     * @param lastRun the number of the last failed run
     */
    public record TaskFailures(int task, int count, int lastRun) {}
}
