package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;

/**
 * The durable record of the progress of one step of one occurrence.
 *
 * @param occurrence the occurrence, counting from 0
 * @param step the index of the step
 * @param done a bit set of the completed tasks, in the format of {@link java.util.BitSet#toByteArray()}
 * @param failures the failed runs of the tasks that have any
 * @param failedGangRuns the numbers of the failed runs of the gang as a whole
 * @param crashes the crashes of workers under the tasks that have any; empty in records of earlier releases
 */
public record StepProgress(
        int occurrence,
        int step,
        byte[] done,
        List<TaskFailures> failures,
        List<Integer> failedGangRuns,
        List<TaskCrashes> crashes) {
    /** Rejects missing components and copies the lists. */
    public StepProgress {
        Objects.requireNonNull(done, "done");
        failures = List.copyOf(failures);
        failedGangRuns = List.copyOf(failedGangRuns);
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }

    /**
     * The failed runs of a task.
     *
     * @param task the index of the task
     * @param runs the numbers of the failed runs
     */
    public record TaskFailures(int task, List<Integer> runs) {
        /** Copies the list. */
        public TaskFailures {
            runs = List.copyOf(runs);
        }
    }

    /**
     * The crashes of workers under the runs of a task.
     *
     * @param task the index of the task
     * @param clearedRun the number of the last run that proved the task harmless; 0 when there is none
     * @param crashes the crashes under later runs, one for each run
     */
    public record TaskCrashes(int task, int clearedRun, List<Crash> crashes) {
        /** Copies the list. */
        public TaskCrashes {
            crashes = List.copyOf(crashes);
        }
    }

    /**
     * A crash of a worker under a run.
     *
     * @param run the number of the run, which names the crash: a run is on one incarnation of one worker
     * @param ageMs how long the run had lasted, in milliseconds
     * @param certain true when the worker has restarted, and ran the task shortly before
     * @param together how many other workers went down about then, those that ran the same job left out
     */
    public record Crash(int run, long ageMs, boolean certain, int together) {}
}
