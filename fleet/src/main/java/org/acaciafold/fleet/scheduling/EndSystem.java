package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.RunEnd;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the ends of runs that workers report to tasks, steps and jobs. */
final class EndSystem {
    private static final Logger LOG = LoggerFactory.getLogger(EndSystem.class);

    private final Tables tables;

    EndSystem(Tables tables) {
        this.tables = tables;
    }

    void processEnd(WorkerRow worker, RunEnd end) {
        RunRow run = worker.runs.get(end.task());
        long orderedAtMs = 0;
        if (run != null && run.number == end.run()) {
            orderedAtMs = run.orderedAtMs;
            tables.end(run);
        }
        TaskRow task = tables.task(end.task()).orElse(null);
        if (task == null) {
            LOG.warn("end of an unknown task worker={} task={} run={} kind={}", worker.id, end.task(), end.run(), end);
            return;
        }
        switch (end.kind()) {
            case DONE -> taskDone(worker, task);
            case FAILED -> taskFailed(worker, task, end, orderedAtMs);
            default -> setCheckpoint(task, end.checkpoint());
        }
        LOG.info(
                "end job={} task={}.{}.{} run={} kind={} worker={} failures={}",
                end.task().job(),
                end.task().occurrence(),
                end.task().step(),
                end.task().index(),
                end.run(),
                end.kind(),
                worker.id,
                task.failedRuns.size());
    }

    /** Removes a run that is provably absent from its worker although its end was not reported. */
    void removeLostRun(RunRow run, String reason) {
        LOG.warn("run lost task={} run={} worker={} reason={}", run.task.name, run.number, run.worker.id, reason);
        setCheckpoint(run.task, run.checkpoint);
        tables.end(run);
    }

    /** Ends a job whose progress the store refuses for good. */
    void progressRefused(JobRow job) {
        LOG.error("job ended job={} reason=its progress is too large for a row of the store", job.job.id());
        giveUp(job);
    }

    /** Ends a job of which a task must not be started any more. */
    void giveUp(JobRow job) {
        tables.unsaved(job);
        endJob(job, JobState.FAILED);
    }

    private void taskDone(WorkerRow worker, TaskRow task) {
        worker.succeeded();
        StepRow step = task.step;
        if (step.spec.longRunning()) {
            return;
        }
        if (step.spec.gang()) {
            step.tasks.forEach(this::markDone);
        } else {
            markDone(task);
        }
        JobRow job = step.job;
        if (step.remaining == 0) {
            job.countOccurrences();
        }
        tables.unsaved(job);
        if (job.active() && job.occurrencesDone == job.occurrences()) {
            endJob(job, JobState.COMPLETED);
        }
    }

    private void taskFailed(WorkerRow worker, TaskRow task, RunEnd end, long orderedAtMs) {
        StepRow step = task.step;
        setCheckpoint(task, end.checkpoint());
        boolean faultOfTask = step.spec.longRunning() || failedElsewhere(task, worker);
        task.failedOn.add(worker.id);
        if (!task.failedRuns.add(end.run())) {
            return;
        }
        if (!faultOfTask) {
            worker.failed(step.job.job.id(), orderedAtMs, tables.nowMs);
        }
        task.lastRun = Math.max(task.lastRun, end.run());
        if (step.spec.gang()) {
            step.failedGangRuns.add(end.run());
        }
        tables.unsaved(step.job);
        int attempts = Math.max(task.failedRuns.size(), step.failedGangRuns.size());
        if (!step.spec.longRunning() && attempts >= step.job.job.route().maxAttempts() && step.job.active()) {
            endJob(step.job, JobState.FAILED);
        }
    }

    /** Returns whether a task, or any member of its gang, has failed on another worker, so that it is most likely at fault. */
    private static boolean failedElsewhere(TaskRow task, WorkerRow worker) {
        List<TaskRow> members = task.step.spec.gang() ? task.step.tasks : List.of(task);
        for (TaskRow member : members) {
            if (member.failedOn.stream().anyMatch(id -> !id.equals(worker.id))) {
                return true;
            }
        }
        return false;
    }

    private void endJob(JobRow job, JobState state) {
        job.state = state;
        LOG.info(
                "job ended job={} state={} route={} afterMs={}",
                job.job.id(),
                state,
                job.job.route().name(),
                tables.wallMs - job.job.acceptedAtMs());
    }

    private void setCheckpoint(TaskRow task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (task.step.spec.gang()) {
            task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    private void markDone(TaskRow task) {
        if (!task.done) {
            task.done = true;
            task.step.remaining--;
            task.step.doneAtMs = tables.nowMs;
        }
    }
}
