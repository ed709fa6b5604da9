package org.acaciafold.core.placement;

import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * Distinguishes faulty workers from faulty jobs.
 *
 * <p>A worker is quarantined when different jobs fail on it without a success in between, or when a job that succeeds
 * elsewhere fails on it repeatedly. It is then probed with one task after a delay that doubles each time. A job is
 * stopped when it fails, without any success, on several workers on which nothing else fails.
 */
final class FailureTracker {
    private static final int DISTINCT_JOBS = 3;
    private static final int REPEATED_FAILURES = 4;
    private static final int DISTINCT_WORKERS = 3;
    private static final int MAX_QUARANTINED_DIVISOR = 4;
    private static final long INITIAL_PROBE_DELAY_MS = 30_000;
    private static final int MAX_PROBE_DOUBLINGS = 6;
    private static final long HEALTHY_RUN_MS = 60_000;

    private final Tables tables;
    private final boolean quarantineEnabled;

    FailureTracker(Tables tables, boolean quarantineEnabled) {
        this.tables = tables;
        this.quarantineEnabled = quarantineEnabled;
    }

    /** Records a failed attempt of a job on a worker. */
    void failed(JobRow job, WorkerRow worker, long ranMs, long nowMs) {
        if (ranMs >= HEALTHY_RUN_MS) {
            clear(worker);
        }
        if (worker.failuresInRow == 0) {
            worker.successesBeforeFailures = tables.runTimes.successes();
        }
        worker.failuresInRow++;
        worker.failedJobNames.add(job.spec.workspace() + "/" + job.spec.name());
        if (worker.trust == WorkerRow.Trust.PROBING) {
            startQuarantine(worker, nowMs);
        } else if (faulty(job, worker)) {
            withdrawJobFailures(worker);
            quarantine(worker, nowMs);
        } else if (worker.failedJobNames.size() > 1) {
            withdrawJobFailures(worker);
        } else {
            countAgainstJob(job, worker);
        }
    }

    /** Records a successful attempt of a job on a worker. */
    void succeeded(JobRow job, WorkerRow worker) {
        clear(worker);
        job.failedOn.forEach(other -> other.jobsFailedHere.remove(job));
        job.failedOn.clear();
        if (worker.trust == WorkerRow.Trust.PROBING) {
            worker.trust = WorkerRow.Trust.TRUSTED;
            worker.quarantineCount = 0;
            tables.quarantinedWorkers--;
            tables.reindex(worker);
        }
    }

    private void countAgainstJob(JobRow job, WorkerRow worker) {
        job.failedOn.add(worker);
        worker.jobsFailedHere.add(job);
        int threshold = Math.min(DISTINCT_WORKERS, Math.max(1, tables.readyWorkers));
        if (job.failedOn.size() < threshold || job.succeeded > 0 || job.service() || !job.schedulable()) {
            return;
        }
        for (WorkerRow other : job.failedOn) {
            other.jobsFailedHere.remove(job);
            clear(other);
        }
        job.failedOn.clear();
        tables.markUnschedulable(job, "the job fails on unlike workers", Resources.empty(), false);
        tables.jobsToStop.add(job);
    }

    private static void clear(WorkerRow worker) {
        worker.failuresInRow = 0;
        worker.failedJobNames.clear();
        worker.jobsFailedHere.forEach(job -> job.failedOn.remove(worker));
        worker.jobsFailedHere.clear();
    }

    private static void withdrawJobFailures(WorkerRow worker) {
        for (JobRow job : List.copyOf(worker.jobsFailedHere)) {
            job.failedOn.remove(worker);
            job.tasks.values().stream()
                    .filter(task -> task.lastFailedOn == worker)
                    .forEach(task -> task.failures = 0);
        }
        worker.jobsFailedHere.clear();
    }

    private void quarantine(WorkerRow worker, long nowMs) {
        int limit = Math.max(1, tables.readyWorkers / MAX_QUARANTINED_DIVISOR);
        if (!quarantineEnabled || worker.trust != WorkerRow.Trust.TRUSTED || tables.quarantinedWorkers >= limit) {
            return;
        }
        tables.quarantinedWorkers++;
        startQuarantine(worker, nowMs);
    }

    private void startQuarantine(WorkerRow worker, long nowMs) {
        worker.trust = WorkerRow.Trust.QUARANTINED;
        long wait = INITIAL_PROBE_DELAY_MS << Math.min(worker.quarantineCount, MAX_PROBE_DOUBLINGS);
        worker.quarantineCount++;
        tables.timers.add(nowMs + wait, new TimedAction.ProbeWorker(worker));
        tables.reindex(worker);
    }

    private boolean faulty(JobRow job, WorkerRow worker) {
        boolean succeedsElsewhere = worker.failuresInRow >= REPEATED_FAILURES
                && tables.runTimes.succeededSince(job.spec, worker.successesBeforeFailures);
        return worker.failedJobNames.size() >= DISTINCT_JOBS || succeedsElsewhere;
    }
}
