package org.acaciafold.fleet.scheduling;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.acaciafold.fleet.TaskName;

/** One task of a step. */
final class TaskRow {
    final StepRow step;
    final int index;
    final TaskName name;
    final Set<String> failedOn = new HashSet<>();
    /** Numbers of failed runs; a set because ends may be reported twice, and by different workers in any order. */
    final Set<Integer> failedRuns = new TreeSet<>();

    boolean done;
    int lastRun;
    String checkpoint = "";
    /** The crashes of workers under the task; null when there were none. */
    CrashHistory crashes;

    private RunRow run;

    TaskRow(StepRow step, int index) {
        this.step = step;
        this.index = index;
        this.name = new TaskName(step.job.job.id(), step.occurrence, step.index, index);
    }

    void begin(RunRow started) {
        run = started;
        lastRun = Math.max(lastRun, started.number);
    }

    void end(RunRow ended) {
        if (run == ended) {
            run = null;
        }
    }

    Optional<RunRow> run() {
        return Optional.ofNullable(run);
    }

    /** Returns whether the task may be one that crashes the workers that start it. */
    boolean suspect() {
        return crashes != null && crashes.suspect();
    }

    boolean waiting() {
        return !done && run == null;
    }
}
