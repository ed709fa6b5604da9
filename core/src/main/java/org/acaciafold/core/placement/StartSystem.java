package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** Starts waiting tasks by class; within a class, the workspace with the lowest weighted dominant share goes first. */
final class StartSystem {
    private static final int STARTS_PER_TICK = 512;
    /** A task is large when it demands more than the capacity of an average worker divided by this number. */
    private static final int LARGE_TASK_DIVISOR = 4;

    /** The delay in milliseconds before a job that waits for allotment is checked against the whole allotment. */
    private static final long ALLOTMENT_REPORT_DELAY_MS = 60_000;

    private final Tables tables;
    private final WorkerChoice choice;
    private final UnschedulableJobSystem unschedulableJobs;
    private final PreemptionSystem preemption;
    private final StartRateRamp ramp = new StartRateRamp();
    private final boolean shareFirst;
    private int remainingStarts;

    StartSystem(
            Tables tables,
            UnschedulableJobSystem unschedulableJobs,
            PreemptionSystem preemption,
            Set<PlacementFeature> features) {
        this.tables = tables;
        this.choice = new WorkerChoice(tables, features);
        this.unschedulableJobs = unschedulableJobs;
        this.preemption = preemption;
        this.shareFirst = features.contains(PlacementFeature.SHARE_FIRST);
    }

    /** The workspaces that may start tasks in a pass over the classes. */
    private enum Pass {
        ALL,
        BELOW_SHARE
    }

    private record QueuedWorkspace(WorkspaceRow workspace, double share, int order) {}

    void run(Tick tick) {
        if (!tables.open) {
            return;
        }
        if (tables.reopened) {
            tables.reopened = false;
            ramp.begin(tick.nowMs);
        }
        tables.blocked.unblock();
        remainingStarts = ramp.limit(tick.nowMs, tables.readyWorkers, STARTS_PER_TICK);
        int before = remainingStarts;
        startClass(tick, JobClass.URGENT, Pass.ALL);
        if (shareFirst) {
            startClasses(tick, Pass.BELOW_SHARE);
        }
        startClasses(tick, Pass.ALL);
        ramp.consume(before - remainingStarts);
    }

    private void startClasses(Tick tick, Pass pass) {
        for (JobClass jobClass : JobClass.values()) {
            if (jobClass != JobClass.URGENT && (jobClass != JobClass.LOW || pass == Pass.ALL)) {
                startClass(tick, jobClass, pass);
            }
        }
    }

    private void startClass(Tick tick, JobClass jobClass, Pass pass) {
        PriorityQueue<QueuedWorkspace> byShare = new PriorityQueue<>(
                Comparator.comparingDouble(QueuedWorkspace::share).thenComparingInt(QueuedWorkspace::order));
        int order = 0;
        for (WorkspaceRow workspace : tables.workspaces.values()) {
            if (workspace.queue(jobClass).first() != null) {
                byShare.add(queuedWorkspace(workspace, order));
            }
            order++;
        }
        while (remainingStarts > 0 && !byShare.isEmpty()) {
            QueuedWorkspace next = byShare.poll();
            ShapeQueue queue = next.workspace().queue(jobClass).first();
            if (queue == null
                    || pass == Pass.BELOW_SHARE && next.workspace().aboveShare(queue.demand, tables.capacity)) {
                continue;
            }
            startHead(tick, queue);
            byShare.add(queuedWorkspace(next.workspace(), next.order()));
        }
    }

    private void startHead(Tick tick, ShapeQueue queue) {
        JobRow job = queue.head();
        int tasks = job.gang() ? job.waiting : 1;
        if (!job.workspace.allows(queue.demand.times(tasks))) {
            blockForAllotment(tick, queue, job);
            return;
        }
        boolean started = job.gang() ? startAll(tick, job) : startOne(tick, job);
        if (started) {
            job.blockedSinceMs = 0;
            queue.parent.reorder(queue);
        } else {
            blockForCapacity(tick, queue, job);
        }
    }

    private boolean startOne(Tick tick, JobRow job) {
        TaskRow task = job.takeTask(tables.firstAttempt);
        WorkerRow worker = choice.choose(task, tick.nowMs);
        if (worker == null) {
            job.retries.addFirst(task);
            return false;
        }
        emit(tick, reserve(tick, task, worker));
        if (worker.reservedFor == job) {
            tables.releaseReservation(worker);
        }
        while (job.reservedWorkers.size() > job.waiting) {
            tables.releaseReservation(job.reservedWorkers.getLast());
        }
        return true;
    }

    /** Reserves capacity for all tasks of a gang and starts them, or reserves nothing. */
    private boolean startAll(Tick tick, JobRow job) {
        int tasks = job.waiting;
        if (!job.spec.demand().times(tasks).fitsIn(tables.free)) {
            return false;
        }
        List<AttemptRow> attempts = new ArrayList<>(tasks);
        for (int i = 0; i < tasks; i++) {
            TaskRow task = job.takeTask(tables.firstAttempt);
            WorkerRow worker = choice.choose(task, tick.nowMs);
            if (worker == null) {
                job.retries.addFirst(task);
                tables.blocked.ignoreReleases(true);
                attempts.forEach(this::rollBack);
                tables.blocked.ignoreReleases(false);
                return false;
            }
            attempts.add(reserve(tick, task, worker));
        }
        attempts.forEach(attempt -> emit(tick, attempt));
        tables.waitingGangs.remove(job);
        tables.releaseReservations(job);
        return true;
    }

    private void blockForAllotment(Tick tick, ShapeQueue queue, JobRow job) {
        queue.parent.block(queue);
        tables.blocked.blockForAllotment(queue);
        if (!job.allotmentTimer) {
            job.allotmentTimer = true;
            tables.timers.add(tick.nowMs + ALLOTMENT_REPORT_DELAY_MS, new TimedAction.CheckAllotment(job));
        }
    }

    private void blockForCapacity(Tick tick, ShapeQueue queue, JobRow job) {
        if (unschedulableJobs.check(job)) {
            return;
        }
        if (job.blockedSinceMs == 0) {
            job.blockedSinceMs = tick.nowMs;
        }
        if (job.gang()) {
            tables.waitingGangs.add(job);
        } else if (large(job)) {
            tables.waitingLargeJobs.add(job);
        }
        queue.parent.block(queue);
        tables.blocked.blockForCapacity(queue, !choice.exhausted());
        preemption.requestPreemption(queue);
    }

    /** Returns whether small tasks of the same class could starve the job by taking all freed capacity. */
    private boolean large(JobRow job) {
        boolean entitled = job.jobClass != JobClass.LOW && !job.workspace.aboveShareAtTickStart;
        Resources average = tables.capacity.part(Math.max(1, LARGE_TASK_DIVISOR * tables.readyWorkers));
        return entitled && !job.spec.demand().fitsIn(average);
    }

    private AttemptRow reserve(Tick tick, TaskRow task, WorkerRow worker) {
        task.lastAttempt++;
        AttemptRow attempt = new AttemptRow(task, task.lastAttempt, worker, tick.nowMs);
        attempt.spareReservedFor = choice.usesSpare() ? worker.reservedFor : null;
        task.current = attempt;
        task.job.running++;
        tables.addWaiting(task.job, -1);
        tables.reserve(attempt);
        return attempt;
    }

    private void emit(Tick tick, AttemptRow attempt) {
        remainingStarts--;
        tick.decisions.add(
                new Decision.Start(attempt.task.id(), attempt.worker.spec.id(), attempt.number, attempt.task.job.spec));
    }

    private void rollBack(AttemptRow attempt) {
        TaskRow task = attempt.task;
        tables.release(attempt);
        tables.resetProbe(attempt.worker);
        task.current = null;
        task.job.running--;
        task.job.retries.add(task);
        tables.addWaiting(task.job, 1);
    }

    private QueuedWorkspace queuedWorkspace(WorkspaceRow workspace, int order) {
        return new QueuedWorkspace(workspace, workspace.weightedShare(tables.capacity), order);
    }
}
