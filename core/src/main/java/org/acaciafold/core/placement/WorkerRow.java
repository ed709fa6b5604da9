package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** A worker in the table of workers. */
final class WorkerRow {
    /** Whether a worker is trusted with tasks. */
    enum Trust {
        /** It takes tasks. */
        TRUSTED,
        /** It takes none because unlike jobs failed on it. */
        QUARANTINED,
        /** It takes one task to see whether that succeeds. */
        PROBE,
        /** It runs that task and takes no other. */
        PROBING
    }

    final int slot;
    final List<AttemptRow> attempts = new ArrayList<>();
    /** The job names that failed since the last success. */
    final Set<String> failedJobNames = new LinkedHashSet<>();
    /** The jobs for whose failure this worker counts as evidence. */
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
    /** The index that the worker is in, null before it is in one. */
    WorkerIndex index;

    boolean inReservedIndex;
    /** The job for which the worker is kept, null when it is kept for none. */
    JobRow reservedFor;
    /** The time in milliseconds at which that job is expected to use it. */
    long reservationStartMs;
    /** What other jobs may use even when they end after that time. */
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

    /** Tells whether a task may be placed here if it fits. */
    boolean usable() {
        return ready() && (trust == Trust.TRUSTED || trust == Trust.PROBE);
    }

    /** Returns what a job may use that the worker is not kept for. */
    Resources unreservedCapacity() {
        return reservedFor == null ? free : free.min(reservationSpare);
    }

    void use(Resources change) {
        used = used.plus(change);
        free = spec.capacity().minus(used);
    }
}
