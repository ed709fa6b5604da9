package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.port.StopMode;

/** An attempt of a task that has resources reserved on a worker. */
final class AttemptRow {
    /** The phase of an attempt as far as it is known. */
    enum Phase {
        /** The start was decided and is not confirmed yet. */
        STARTING,
        /** The worker runs the attempt. */
        RUNNING,
        /** A stop of the attempt was requested. */
        STOPPING
    }

    final TaskRow task;
    final long number;
    final WorkerRow worker;
    final Resources demand;
    final long startedMs;
    Phase phase = Phase.STARTING;
    /** The job with the reservation whose spare capacity the attempt uses; null if it uses none. */
    JobRow spareReservedFor;

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
