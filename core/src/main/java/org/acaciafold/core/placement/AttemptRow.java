package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.port.StopMode;

/** An attempt of a task that holds resources of a worker. */
final class AttemptRow {
    /** What is known of an attempt. */
    enum Phase {
        /** The start was decided and not yet confirmed. */
        STARTING,
        /** The worker runs it. */
        RUNNING,
        /** It was asked to stop. */
        STOPPING
    }

    final TaskRow task;
    final long number;
    final WorkerRow worker;
    final Resources demand;
    final long startedMs;
    Phase phase = Phase.STARTING;
    /** The job for which the worker is kept and whose spare room it uses, null when it uses none. */
    JobRow usesSpareOf;

    StopMode stopMode;
    int stopRequests;

    AttemptRow(TaskRow task, long number, WorkerRow worker, long startedMs) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.demand = task.job.spec.demand();
        this.startedMs = startedMs;
    }

    boolean current() {
        return task.current == this;
    }
}
