package org.acaciafold.core.placement;

import java.util.BitSet;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;

/** Applies what is reported of jobs and tasks to the tables. */
final class TaskFacts {
    private static final int MAX_FAILURES = 5;

    private final Tables tables;

    TaskFacts(Tables tables) {
        this.tables = tables;
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
        if (task.current != null || job.ended.get(index)) {
            task.strays.add(attempt);
        } else {
            takeOver(task, attempt);
        }
        confirm(attempt, view);
        if (!attempt.current() || job.cancelled) {
            tables.unwanted.add(attempt);
        }
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
        free(attempt);
        if (end.reason() == EndReason.SUCCEEDED && !task.job.service()) {
            succeed(task);
        } else if (current && end.reason() == EndReason.FAILED) {
            fail(task, attempt.worker);
        } else if (current) {
            waitAgain(task);
        }
        settle(task);
    }

    void lost(TaskId id, long number) {
        AttemptRow attempt = tables.attempt(id, number);
        if (attempt == null) {
            return;
        }
        boolean current = attempt.current();
        free(attempt);
        if (current) {
            waitAgain(attempt.task);
        }
        settle(attempt.task);
    }

    void refused(TaskId id, long number) {
        lost(id, number);
    }

    void remove(JobId id) {
        JobRow job = tables.jobs.get(id);
        if (job == null) {
            return;
        }
        tables.addWaiting(job, -job.waiting);
        job.homed = false;
        job.retries.clear();
        job.tasks.values().removeIf(task -> task.current == null && task.strays.isEmpty());
        job.nextFresh = 0;
        job.ended.clear();
        job.succeeded = 0;
        job.failed = 0;
        if (job.running == 0) {
            tables.jobs.remove(id);
        }
    }

    void submit(JobSpec spec, BitSet ended, long nowMs) {
        JobRow job = tables.job(spec);
        if (job.homed) {
            return;
        }
        job.homed = true;
        job.submittedMs = nowMs;
        job.ended.or(ended);
        job.succeeded = job.ended.cardinality();
        int taken = 0;
        for (TaskRow task : job.tasks.values()) {
            boolean done = job.ended.get(task.index);
            if (done && task.current != null) {
                task.strays.add(task.current);
                tables.unwanted.add(task.current);
                task.current = null;
            }
            taken += done ? 0 : 1;
        }
        if (!job.cancelled) {
            tables.addWaiting(job, spec.kind().tasks() - job.succeeded - taken);
        }
        tables.enqueue(job);
    }

    private static void confirm(AttemptRow attempt, TaskView view) {
        if (view.phase() == TaskPhase.CHECKPOINTING) {
            attempt.phase = AttemptRow.Phase.STOPPING;
        } else if (attempt.phase == AttemptRow.Phase.STARTING) {
            attempt.phase = AttemptRow.Phase.RUNNING;
        }
    }

    /** Takes the end of an attempt that holds nothing here, for example of an earlier owner. */
    private void endedElsewhere(TaskEnd end) {
        JobRow job = tables.jobs.get(end.task().job());
        int index = end.task().index();
        if (job == null || end.reason() != EndReason.SUCCEEDED || job.service() || job.ended.get(index)) {
            return;
        }
        TaskRow task = job.tasks.get(index);
        boolean waits = task == null ? index < job.spec.kind().tasks() : task.current == null;
        if (task == null) {
            job.ended.set(index);
            job.succeeded++;
        } else {
            succeed(task);
            settle(task);
        }
        if (waits && job.homed && !job.cancelled) {
            tables.addWaiting(job, -1);
        }
    }

    private void fail(TaskRow task, WorkerRow worker) {
        JobRow job = task.job;
        task.failures++;
        task.lastFailedOn = worker;
        if (task.failures < MAX_FAILURES || job.service()) {
            waitAgain(task);
            return;
        }
        job.failed++;
        job.ended.set(task.index);
    }

    private void free(AttemptRow attempt) {
        tables.release(attempt);
        TaskRow task = attempt.task;
        task.job.running--;
        if (attempt.current()) {
            task.current = null;
        } else {
            task.strays.remove(attempt);
        }
    }

    /** Forgets a task that has ended and a job that is not homed here once nothing of it runs. */
    private void settle(TaskRow task) {
        JobRow job = task.job;
        if (task.current == null && task.strays.isEmpty() && (!job.live() || job.ended.get(task.index))) {
            job.tasks.remove(task.index);
        }
        if (!job.homed && job.running == 0) {
            tables.jobs.remove(job.spec.id());
        }
    }

    private void succeed(TaskRow task) {
        JobRow job = task.job;
        if (job.ended.get(task.index)) {
            return;
        }
        job.ended.set(task.index);
        job.succeeded++;
        job.retries.remove(task);
        if (task.current != null) {
            task.strays.add(task.current);
            tables.unwanted.add(task.current);
            task.current = null;
        }
    }

    private void takeOver(TaskRow task, AttemptRow attempt) {
        JobRow job = task.job;
        task.current = attempt;
        job.retries.remove(task);
        if (job.homed && !job.cancelled) {
            tables.addWaiting(job, -1);
        }
    }

    private void waitAgain(TaskRow task) {
        JobRow job = task.job;
        if (!job.homed || job.cancelled) {
            return;
        }
        job.retries.add(task);
        tables.addWaiting(job, 1);
        tables.enqueue(job);
    }
}
