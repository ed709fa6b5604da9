package org.acaciafold.core.placement;

import java.util.BitSet;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;

/** Applies reports about jobs and tasks to the tables. */
final class TaskEventHandler {
    private static final int MAX_FAILURES = 5;
    private static final long INITIAL_RETRY_DELAY_MS = 1_000;
    private static final int MAX_RETRY_DOUBLINGS = 6;

    private final Tables tables;
    private final FailureTracker failures;
    private final UnschedulableJobSystem unschedulableJobs;

    TaskEventHandler(Tables tables, FailureTracker failures, UnschedulableJobSystem unschedulableJobs) {
        this.tables = tables;
        this.failures = failures;
        this.unschedulableJobs = unschedulableJobs;
    }

    void adopt(WorkerId workerId, TaskView view) {
        if (tables.attempt(view.task(), view.attempt()) instanceof AttemptRow known) {
            confirm(known, view);
            return;
        }
        WorkerRow worker = tables.workers.get(workerId);
        if (worker == null) {
            worker = tables.put(new WorkerSpec(workerId, "", Resources.empty()), WorkerState.UNREACHABLE);
        }
        JobRow job = tables.job(view.spec());
        int index = view.task().index();
        TaskRow task = job.tasks.computeIfAbsent(index, key -> new TaskRow(job, key, view.attempt()));
        task.lastAttempt = Math.max(task.lastAttempt, view.attempt());
        AttemptRow attempt = new AttemptRow(task, view.attempt(), worker, 0);
        tables.reserve(attempt);
        job.running++;
        if (task.current != null || job.endedTasks.get(index)) {
            task.orphanAttempts.add(attempt);
        } else {
            makeCurrent(task, attempt);
        }
        confirm(attempt, view);
        if (!attempt.current() || job.cancelled) {
            tables.obsoleteAttempts.add(attempt);
        }
        checkGang(job);
        if (worker.state == WorkerState.LEAVING || !tables.open) {
            tables.draining.add(worker);
        }
    }

    void ended(TaskEnd end, long nowMs) {
        AttemptRow attempt = tables.attempt(end.task(), end.attempt());
        if (attempt == null) {
            endedElsewhere(end);
            return;
        }
        boolean current = attempt.current();
        TaskRow task = attempt.task;
        release(attempt);
        recordOutcome(attempt, end, nowMs);
        if (end.reason() == EndReason.SUCCEEDED && !task.job.service()) {
            succeed(task);
        } else if (current && end.reason() == EndReason.FAILED) {
            fail(task, attempt.worker, nowMs);
        } else if (current) {
            requeue(task, nowMs, nowMs);
        }
        cleanUp(task);
    }

    private void recordOutcome(AttemptRow attempt, TaskEnd end, long nowMs) {
        JobRow job = attempt.task.job;
        switch (end.reason()) {
            case SUCCEEDED -> {
                tables.runTimes.succeeded(job.spec, end.ranMs());
                failures.succeeded(job, attempt.worker);
            }
            case FAILED -> failures.failed(job, attempt.worker, end.ranMs(), nowMs);
            case CHECKPOINTED, STOPPED, EXPIRED -> tables.resetProbe(attempt.worker);
            default -> throw new IllegalStateException("unknown reason " + end.reason());
        }
    }

    void lost(TaskId id, long number) {
        endUnfinished(id, number, tables.nowMs, 0);
    }

    void refused(TaskId id, long number, long nowMs) {
        endUnfinished(id, number, nowMs, INITIAL_RETRY_DELAY_MS);
    }

    void remove(JobId id) {
        JobRow job = tables.jobs.get(id);
        if (job == null) {
            return;
        }
        tables.addWaiting(job, -job.waiting);
        job.submitted = false;
        job.retries.clear();
        job.tasks.values().forEach(TaskEventHandler::clearDelay);
        tables.releaseReservations(job);
        tables.tooLargeJobs.remove(job);
        job.workspace.aboveAllotment.remove(job);
        job.workspace.queue(job.jobClass).unblockIfFirst(job);
        job.tasks.values().removeIf(task -> task.current == null && task.orphanAttempts.isEmpty());
        job.nextNewTask = 0;
        job.endedTasks.clear();
        job.succeeded = 0;
        job.failed = 0;
        job.problem = Optional.empty();
        job.countedInDemand = true;
        if (job.running == 0) {
            tables.jobs.remove(id);
        }
    }

    void submit(JobSpec spec, BitSet ended, long nowMs) {
        JobRow job = tables.job(spec);
        if (job.submitted) {
            return;
        }
        job.submitted = true;
        job.submittedMs = nowMs;
        job.endedTasks.or(ended);
        job.succeeded = job.endedTasks.cardinality();
        int taken = 0;
        for (TaskRow task : job.tasks.values()) {
            boolean done = job.endedTasks.get(task.index);
            if (done && task.current != null) {
                task.orphanAttempts.add(task.current);
                tables.obsoleteAttempts.add(task.current);
                task.current = null;
            }
            taken += done ? 0 : 1;
        }
        if (!job.cancelled) {
            tables.addWaiting(job, spec.kind().tasks() - job.succeeded - taken);
        }
        if (!job.schedulable() || !unschedulableJobs.check(job)) {
            tables.enqueue(job);
        }
        checkGang(job);
    }

    private static void confirm(AttemptRow attempt, TaskView view) {
        if (view.phase() == TaskPhase.CHECKPOINTING) {
            attempt.phase = AttemptRow.Phase.STOPPING;
        } else if (attempt.phase == AttemptRow.Phase.STARTING) {
            attempt.phase = AttemptRow.Phase.RUNNING;
        }
    }

    /** Applies the end of an attempt without resources here, for example one that an earlier owner started. */
    private void endedElsewhere(TaskEnd end) {
        JobRow job = tables.jobs.get(end.task().job());
        int index = end.task().index();
        if (job == null || end.reason() != EndReason.SUCCEEDED || job.service() || job.endedTasks.get(index)) {
            return;
        }
        TaskRow task = job.tasks.get(index);
        boolean waits = task == null ? index < job.spec.kind().tasks() : task.current == null;
        if (waits && job.submitted && !job.cancelled) {
            tables.addWaiting(job, -1);
        }
        if (task == null) {
            job.endedTasks.set(index);
            job.succeeded++;
        } else {
            succeed(task);
            cleanUp(task);
        }
    }

    private void endUnfinished(TaskId id, long number, long nowMs, long retryAfterMs) {
        AttemptRow attempt = tables.attempt(id, number);
        if (attempt == null) {
            return;
        }
        boolean current = attempt.current();
        release(attempt);
        tables.resetProbe(attempt.worker);
        if (current) {
            attempt.task.lastFailedOn = retryAfterMs > 0 ? attempt.worker : attempt.task.lastFailedOn;
            requeue(attempt.task, nowMs, nowMs + retryAfterMs);
        }
        cleanUp(attempt.task);
    }

    private void fail(TaskRow task, WorkerRow worker, long nowMs) {
        JobRow job = task.job;
        task.failures++;
        task.lastFailedOn = worker;
        if (task.failures < MAX_FAILURES || job.service()) {
            long wait = INITIAL_RETRY_DELAY_MS << Math.min(task.failures - 1, MAX_RETRY_DOUBLINGS);
            requeue(task, nowMs, nowMs + wait);
            return;
        }
        job.failed++;
        job.endedTasks.set(task.index);
        if (job.gang() && job.schedulable()) {
            tables.markUnschedulable(job, "a task of the job failed too often", Resources.empty(), false);
            tables.jobsToStop.add(job);
        }
    }

    private void release(AttemptRow attempt) {
        tables.release(attempt);
        TaskRow task = attempt.task;
        task.job.running--;
        if (attempt.current()) {
            task.current = null;
        } else {
            task.orphanAttempts.remove(attempt);
        }
    }

    /** Removes a task or job that is over, and enqueues the job if one of its tasks waits. */
    private void cleanUp(TaskRow task) {
        JobRow job = task.job;
        boolean over = job.endedTasks.get(task.index) || job.cancelled || !job.submitted;
        if (task.current == null && task.orphanAttempts.isEmpty() && over) {
            job.tasks.remove(task.index);
        }
        if (!job.submitted && job.running == 0) {
            tables.jobs.remove(job.spec.id());
        }
        tables.enqueue(job);
        checkGang(job);
    }

    private void checkGang(JobRow job) {
        if (job.gang() && job.running > 0 && job.waiting > 0) {
            tables.partialGangs.add(job);
        }
    }

    private void succeed(TaskRow task) {
        JobRow job = task.job;
        if (job.endedTasks.get(task.index)) {
            return;
        }
        job.endedTasks.set(task.index);
        job.succeeded++;
        job.retries.remove(task);
        clearDelay(task);
        if (task.current != null) {
            task.orphanAttempts.add(task.current);
            tables.obsoleteAttempts.add(task.current);
            task.current = null;
        }
    }

    private void makeCurrent(TaskRow task, AttemptRow attempt) {
        JobRow job = task.job;
        task.current = attempt;
        job.retries.remove(task);
        clearDelay(task);
        if (job.submitted && !job.cancelled) {
            tables.addWaiting(job, -1);
        }
    }

    private void requeue(TaskRow task, long nowMs, long retryAtMs) {
        JobRow job = task.job;
        if (!job.submitted || job.cancelled) {
            return;
        }
        tables.addWaiting(job, 1);
        if (retryAtMs > nowMs) {
            task.delayed = true;
            job.delayed++;
            tables.timers.add(retryAtMs, new TimedAction.RetryTask(task));
        } else {
            job.retries.add(task);
        }
    }

    private static void clearDelay(TaskRow task) {
        if (task.delayed) {
            task.delayed = false;
            task.job.delayed--;
        }
    }
}
