package org.acaciafold.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;

/** The tables of workers, jobs and workspaces, and the indexes over them, which every change updates. */
final class Tables {
    final List<WorkerRow> slots = new ArrayList<>();
    final Map<WorkerId, WorkerRow> workers = new HashMap<>();
    final Map<JobId, JobRow> jobs = new HashMap<>();
    final Map<WorkspaceId, WorkspaceRow> workspaces = new LinkedHashMap<>();
    final WorkerIndex plainIndex = new WorkerIndex();
    final WorkerIndex acceleratedIndex = new WorkerIndex();
    /** The workers that are reserved for a job. */
    final WorkerIndex reservedIndex = new WorkerIndex();

    final WorkerCapacityCounts capacityCounts = new WorkerCapacityCounts();
    final BlockedQueues blocked = new BlockedQueues();
    final TimerQueue timers = new TimerQueue();
    final RunTimes runTimes;
    /** The jobs whose running tasks must be stopped. */
    final Deque<JobRow> jobsToStop = new ArrayDeque<>();
    /** The workers whose tasks must move to other workers. */
    final Deque<WorkerRow> draining = new ArrayDeque<>();
    /** The attempts that must be stopped because they are duplicates or belong to a task or job that is over. */
    final Deque<AttemptRow> obsoleteAttempts = new ArrayDeque<>();
    /** The gangs of which only some tasks may be running. */
    final Set<JobRow> partialGangs = new LinkedHashSet<>();
    /** The gangs that did not fit. */
    final Set<JobRow> waitingGangs = new LinkedHashSet<>();
    /** The jobs that did not fit and whose tasks demand a large part of a worker. */
    final Set<JobRow> waitingLargeJobs = new LinkedHashSet<>();
    /** The jobs that have become unschedulable and are not reported yet. */
    final Deque<Decision.JobUnschedulable> unschedulableReports = new ArrayDeque<>();
    /** The jobs that are unschedulable because no workers are large enough. */
    final Set<JobRow> tooLargeJobs = new LinkedHashSet<>();

    final SplittableRandom random;
    final long firstAttempt;
    Resources capacity = Resources.empty();
    Resources reserved = Resources.empty();
    /** The free capacity of all ready workers. */
    Resources free = Resources.empty();

    int waiting;
    int running;
    int readyWorkers;
    int quarantinedWorkers;
    boolean open = true;
    boolean reopened;
    /** The time of the last tick in milliseconds. */
    long nowMs;

    private final Deque<Integer> freeSlots = new ArrayDeque<>();
    private long nextSequence;

    Tables(long seed, long firstAttempt, RunTimes runTimes) {
        this.random = new SplittableRandom(seed);
        this.firstAttempt = firstAttempt;
        this.runTimes = runTimes;
    }

    /** Adds a change to the number of waiting tasks of a job. */
    void addWaiting(JobRow job, int change) {
        job.waiting += change;
        waiting += change;
        if (job.countedInDemand) {
            addDemand(job, change);
        }
    }

    /** Adds a job to its queue if it has a task to start. */
    void enqueue(JobRow job) {
        if (job.schedulable() && job.hasReadyTask()) {
            job.workspace.queue(job.jobClass).add(job, QueueOrder.key(job, runTimes));
        }
    }

    /** Marks a job as unschedulable until {@link #clearUnschedulable} is called, and queues the report of it. */
    void markUnschedulable(JobRow job, String reason, Resources largest, boolean counted) {
        job.problem = Optional.of(reason);
        unschedulableReports.add(new Decision.JobUnschedulable(job.spec.id(), reason, largest));
        releaseReservations(job);
        job.workspace.queue(job.jobClass).unblockIfFirst(job);
        if (!counted && job.countedInDemand) {
            job.countedInDemand = false;
            addDemand(job, -job.waiting);
        }
    }

    /** Marks an unschedulable job as schedulable again and adds it to its queue. */
    void clearUnschedulable(JobRow job) {
        job.problem = Optional.empty();
        if (!job.countedInDemand) {
            job.countedInDemand = true;
            addDemand(job, job.waiting);
        }
        enqueue(job);
    }

    /** Returns a job; adds it as not submitted to this slice if it is missing. */
    JobRow job(JobSpec spec) {
        return jobs.computeIfAbsent(spec.id(), id -> new JobRow(spec, workspace(spec.workspace()), nextSequence++));
    }

    WorkspaceRow workspace(WorkspaceId id) {
        return workspaces.computeIfAbsent(id, WorkspaceRow::new);
    }

    /** Returns the attempt with reserved resources, or null if there is none. */
    AttemptRow attempt(TaskId id, long number) {
        TaskRow task = task(id);
        return task == null ? null : task.attempt(number).orElse(null);
    }

    TaskRow task(TaskId id) {
        JobRow job = jobs.get(id.job());
        return job == null ? null : job.tasks.get(id.index());
    }

    /** Reserves the resources of an attempt on its worker. */
    void reserve(AttemptRow attempt) {
        WorkerRow worker = attempt.worker;
        worker.attempts.add(attempt);
        changeUsage(worker, attempt.demand);
        if (attempt.spareReservedFor != null) {
            worker.reservationSpare = worker.reservationSpare.minus(attempt.demand);
        }
        if (worker.trust == WorkerRow.Trust.PROBE) {
            worker.trust = WorkerRow.Trust.PROBING;
        }
        JobRow job = attempt.task.job;
        job.workspace.used = job.workspace.used.plus(attempt.demand);
        if (job.service()) {
            job.replicasPerRack.merge(worker.spec.rack(), 1, Integer::sum);
        }
        reserved = reserved.plus(attempt.demand);
        running++;
        reindex(worker);
    }

    /** Releases the resources of an attempt. */
    void release(AttemptRow attempt) {
        WorkerRow worker = attempt.worker;
        worker.attempts.remove(attempt);
        changeUsage(worker, Resources.empty().minus(attempt.demand));
        if (attempt.spareReservedFor != null && attempt.spareReservedFor == worker.reservedFor) {
            worker.reservationSpare = worker.reservationSpare.plus(attempt.demand);
        }
        JobRow job = attempt.task.job;
        WorkspaceRow workspace = job.workspace;
        workspace.used = workspace.used.minus(attempt.demand);
        if (attempt.stopMode != null) {
            workspace.stopping = workspace.stopping.minus(attempt.demand);
        }
        if (job.service()) {
            job.replicasPerRack.merge(worker.spec.rack(), -1, Integer::sum);
        }
        reserved = reserved.minus(attempt.demand);
        running--;
        reindex(worker);
        blocked.allotmentFreed(workspace);
        if (worker.removed && worker.attempts.isEmpty()) {
            delete(worker);
        }
    }

    /** Reserves a worker for a job, except for the spare capacity, which other jobs may use at any time. */
    void reserveWorker(WorkerRow worker, JobRow job, long startMs, Resources spare) {
        worker.reservedFor = job;
        worker.reservationStartMs = startMs;
        worker.reservationSpare = spare;
        job.reservedWorkers.add(worker);
        reindex(worker);
    }

    /** Releases the workers that are reserved for a job. */
    void releaseReservations(JobRow job) {
        List<WorkerRow> reservedWorkers = List.copyOf(job.reservedWorkers);
        job.reservedWorkers.clear();
        for (WorkerRow worker : reservedWorkers) {
            worker.reservedFor = null;
            reindex(worker);
        }
    }

    /** Allows another probe of a worker after a probe that ended neither in success nor in failure. */
    void resetProbe(WorkerRow worker) {
        if (worker.trust == WorkerRow.Trust.PROBING) {
            worker.trust = WorkerRow.Trust.PROBE;
            reindex(worker);
        }
    }

    /** Releases a worker that is reserved for a job. */
    void releaseReservation(WorkerRow worker) {
        worker.reservedFor.reservedWorkers.remove(worker);
        worker.reservedFor = null;
        reindex(worker);
    }

    /** Adds or updates a worker. */
    WorkerRow put(WorkerSpec spec, WorkerState state) {
        WorkerRow worker = workers.get(spec.id());
        if (worker == null) {
            worker = new WorkerRow(takeSlot(), spec, state);
            workers.put(spec.id(), worker);
            slots.set(worker.slot, worker);
        } else {
            updateTotals(worker, -1);
            worker.spec = spec;
            worker.state = state;
            worker.removed = false;
            worker.changeUsage(Resources.empty());
        }
        updateTotals(worker, 1);
        reindex(worker);
        return worker;
    }

    /** Removes a worker; its row is deleted once nothing runs on it. */
    void remove(WorkerRow worker) {
        updateTotals(worker, -1);
        worker.removed = true;
        reindex(worker);
        if (worker.attempts.isEmpty()) {
            delete(worker);
        }
    }

    /** Updates the index entries of a worker to match its state. */
    void reindex(WorkerRow worker) {
        WorkerIndex index = worker.accelerated() ? acceleratedIndex : plainIndex;
        if (worker.index != null && worker.index != index) {
            worker.index.clear(worker.slot);
        }
        worker.index = index;
        if (!worker.usable()) {
            index.clear(worker.slot);
            reservedIndex.clear(worker.slot);
            return;
        }
        index.set(worker.slot, worker.unreservedCapacity());
        if (worker.reservedFor != null) {
            reservedIndex.set(worker.slot, worker.free);
            worker.inReservedIndex = true;
            worker.reservedFor.workspace.queue(worker.reservedFor.jobClass).unblockQueueOf(worker.reservedFor);
        } else if (worker.inReservedIndex) {
            reservedIndex.clear(worker.slot);
            worker.inReservedIndex = false;
        }
        blocked.capacityFreed(worker.free);
    }

    private void addDemand(JobRow job, int change) {
        WorkspaceRow workspace = job.workspace;
        workspace.waitingDemand = workspace.waitingDemand.plus(job.spec.demand().times(change));
    }

    private void updateTotals(WorkerRow worker, int sign) {
        if (worker.removed) {
            return;
        }
        if (worker.ready()) {
            capacity = capacity.plus(worker.spec.capacity().times(sign));
            free = free.plus(worker.free.times(sign));
            readyWorkers += sign;
        }
        if (worker.state != WorkerState.LEAVING) {
            capacityCounts.add(worker.spec.capacity(), sign);
        }
    }

    private void delete(WorkerRow worker) {
        if (worker.reservedFor != null) {
            worker.reservedFor.reservedWorkers.remove(worker);
        }
        if (worker.trust != WorkerRow.Trust.TRUSTED) {
            quarantinedWorkers--;
        }
        plainIndex.clear(worker.slot);
        acceleratedIndex.clear(worker.slot);
        reservedIndex.clear(worker.slot);
        workers.remove(worker.spec.id());
        slots.set(worker.slot, null);
        freeSlots.add(worker.slot);
    }

    private void changeUsage(WorkerRow worker, Resources change) {
        worker.changeUsage(change);
        if (worker.ready()) {
            free = free.minus(change);
        }
    }

    private int takeSlot() {
        if (!freeSlots.isEmpty()) {
            return freeSlots.poll();
        }
        slots.add(null);
        return slots.size() - 1;
    }
}
