package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** A worker in the table of workers. */
final class WorkerRow {
    /** Whether a worker accepts tasks, judged by the failures on it. */
    enum Trust {
        /** The worker accepts tasks. */
        TRUSTED,
        /** The worker accepts no tasks because different jobs, or one job that succeeds elsewhere, failed on it. */
        QUARANTINED,
        /** The worker accepts one task as a probe. */
        PROBE,
        /** The worker runs the probe and accepts no other task. */
        PROBING
    }

    final int slot;
    final List<AttemptRow> attempts = new ArrayList<>();
    /** The names of the jobs that failed on the worker since the last success. */
    final Set<String> failedJobNames = new LinkedHashSet<>();
    /** The jobs for which a failure on this worker counts against the job. */
    final Set<JobRow> jobsFailedHere = new LinkedHashSet<>();

    WorkerSpec spec;
    WorkerState state;
    Resources used = Resources.empty();
    Resources free;
    boolean removed;
    Trust trust = Trust.TRUSTED;
    int quarantineCount;
    int failuresInRow;
    long successesBeforeFailures;
    /** The index that contains the worker; null before it is in one. */
    WorkerIndex index;

    boolean inReservedIndex;
    /** The job for which the worker is reserved; null if it is not reserved. */
    JobRow reservedFor;
    /** The time in milliseconds at which that job is expected to start on the worker. */
    long reservationStartMs;
    /** The capacity that other jobs may use even if they end after that time. */
    Resources reservationSpare = Resources.empty();

    WorkerRow(int slot, WorkerSpec spec, WorkerState state) {
        this.slot = slot;
        this.spec = spec;
        this.state = state;
        this.free = spec.capacity();
    }

    boolean accelerated() {
        return spec.capacity().accelerators() > 0;
    }

    boolean ready() {
        return state == WorkerState.READY && !removed;
    }

    /** Returns whether the worker accepts a task that fits. */
    boolean usable() {
        return ready() && (trust == Trust.TRUSTED || trust == Trust.PROBE);
    }

    /** Returns the capacity available to jobs for which the worker is not reserved. */
    Resources unreservedCapacity() {
        return reservedFor == null ? free : free.min(reservationSpare);
    }

    void changeUsage(Resources change) {
        used = used.plus(change);
        free = spec.capacity().minus(used);
    }
}
