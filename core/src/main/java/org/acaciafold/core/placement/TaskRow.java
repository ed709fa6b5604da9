package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.TaskId;

/** A task that runs, or that ran before and waits for a retry. */
final class TaskRow {
    final JobRow job;
    final int index;
    final List<AttemptRow> orphanAttempts = new ArrayList<>(0);
    AttemptRow current;
    long lastAttempt;
    int failures;
    /** Whether the task waits for its retry delay to pass. */
    boolean delayed;

    WorkerRow lastFailedOn;

    TaskRow(JobRow job, int index, long lastAttempt) {
        this.job = job;
        this.index = index;
        this.lastAttempt = lastAttempt;
    }

    /** Returns the attempt with a number if it has resources reserved. */
    Optional<AttemptRow> attempt(long number) {
        if (current != null && current.number == number) {
            return Optional.of(current);
        }
        return orphanAttempts.stream().filter(orphan -> orphan.number == number).findFirst();
    }

    TaskId id() {
        return job.spec.task(index);
    }
}
