package org.acaciafold.core.placement;

import java.util.Optional;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.port.StopMode;

/** Executes the actions that are due: retries, probes, repeated stops, allotment checks, ends of reservations. */
final class TimerSystem {
    private static final int STOPS_BEFORE_KILL = 4;

    private final Tables tables;

    TimerSystem(Tables tables) {
        this.tables = tables;
    }

    void run(Tick tick) {
        Optional<TimedAction> action = tables.timers.poll(tick.nowMs);
        while (action.isPresent()) {
            apply(tick, action.get());
            action = tables.timers.poll(tick.nowMs);
        }
    }

    private void apply(Tick tick, TimedAction action) {
        switch (action) {
            case TimedAction.RetryTask retry -> retryTask(retry.task());
            case TimedAction.ProbeWorker probe -> probe(probe.worker());
            case TimedAction.RepeatStop stop -> repeatStop(tick, stop.attempt());
            case TimedAction.CheckAllotment check -> checkAllotment(check.job());
            case TimedAction.RetryQueue retry -> retryQueue(retry.queue());
            case TimedAction.ReleaseReservation release -> releaseReservation(release.job(), release.reservedUntilMs());
        }
    }

    private void retryTask(TaskRow task) {
        if (!task.delayed) {
            return;
        }
        task.delayed = false;
        task.job.delayed--;
        task.job.retries.add(task);
        tables.enqueue(task.job);
    }

    private static void retryQueue(ShapeQueue queue) {
        queue.retryScheduled = false;
        if (queue.blocked()) {
            queue.parent.unblock(queue);
        }
    }

    private void probe(WorkerRow worker) {
        if (worker.trust == WorkerRow.Trust.QUARANTINED) {
            worker.trust = WorkerRow.Trust.PROBE;
            tables.reindex(worker);
        }
    }

    private void repeatStop(Tick tick, AttemptRow attempt) {
        if (!attempt.worker.attempts.contains(attempt)) {
            return;
        }
        if (attempt.stopMode == StopMode.CHECKPOINT && attempt.stopRequests >= STOPS_BEFORE_KILL) {
            attempt.stopMode = StopMode.KILL;
        }
        tick.emitStop(attempt, "the task has not stopped yet");
        tables.timers.add(tick.nowMs + Tick.STOP_REPEAT_MS, new TimedAction.RepeatStop(attempt));
    }

    private void checkAllotment(JobRow job) {
        job.allotmentTimer = false;
        Resources allotment = job.workspace.quota.allotment();
        int atOnce = job.spec.kind() instanceof JobKind.Gang ? job.waiting : Math.min(1, job.waiting);
        if (job.schedulable() && !job.spec.demand().times(atOnce).fitsIn(allotment)) {
            job.workspace.aboveAllotment.add(job);
            tables.markUnschedulable(job, "the job needs more than the workspace may have", allotment, true);
        }
    }

    private void releaseReservation(JobRow job, long reservedUntilMs) {
        if (job.reservedUntilMs == reservedUntilMs) {
            tables.releaseReservations(job);
        }
    }
}
