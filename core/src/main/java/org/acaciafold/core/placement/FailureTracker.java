package org.acaciafold.core.placement;

import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * Tells failing workers from failing jobs.
 *
 * <p>A worker on which unlike jobs fail without a success between them, or a job that succeeds elsewhere, is
 * quarantined and tried with one task after a wait that doubles. A job that fails on several workers that nothing else
 * fails on, without a success, is stopped.
 */
final class FailureTracker {
    private static final int UNLIKE_JOBS = 3;
    private static final int REPEATED_FAILURES = 4;
    private static final int UNLIKE_WORKERS = 3;
    private static final int MAX_QUARANTINED_DIVISOR = 4;
    private static final long FIRST_PROBE_MS = 30_000;
    private static final int MAX_PROBE_DOUBLINGS = 6;
    private static final long HEALTHY_RUN_MS = 60_000;

    private final Tables tables;
    private final boolean quarantineEnabled;

    FailureTracker(Tables tables, boolean quarantineEnabled) {
        this.tables = tables;
        this.quarantineEnabled = quarantineEnabled;
    }

    /** Records a failure. */
    void failed(JobRow job, WorkerRow worker, long ranMs, long nowMs) {
        if (ranMs >= HEALTHY_RUN_MS) {
            clear(worker);
        }
        if (worker.failuresInRow == 0) {
            worker.successesBeforeFailures = tables.runTimes.successes();
        }
        worker.failuresInRow++;
        worker.failedNames.add(job.spec.workspace() + "/" + job.spec.name());
        if (worker.trust == WorkerRow.Trust.PROBING) {
            startQuarantine(worker, nowMs);
        } else if (suspect(job, worker)) {
            forgive(worker);
            quarantine(worker, nowMs);
        } else if (worker.failedNames.size() > 1) {
            forgive(worker);
        } else {
            blame(job, worker);
        }
    }

    /** Records a success. */
    void succeeded(JobRow job, WorkerRow worker) {
        clear(worker);
        job.failedOn.forEach(other -> other.blamedJobs.remove(job));
        job.failedOn.clear();
        if (worker.trust == WorkerRow.Trust.PROBING) {
            worker.trust = WorkerRow.Trust.TRUSTED;
            worker.quarantineCount = 0;
            tables.quarantinedWorkers--;
            tables.reindex(worker);
        }
    }

    private void blame(JobRow job, WorkerRow worker) {
        job.failedOn.add(worker);
        worker.blamedJobs.add(job);
        int enough = Math.min(UNLIKE_WORKERS, Math.max(1, tables.readyWorkers));
        if (job.failedOn.size() < enough || job.succeeded > 0 || job.service() || !job.live()) {
            return;
        }
        for (WorkerRow other : job.failedOn) {
            other.blamedJobs.remove(job);
            clear(other);
        }
        job.failedOn.clear();
        tables.markUnschedulable(job, "the job fails on unlike workers", Resources.empty(), false);
        tables.cancelled.add(job);
    }

    private static void clear(WorkerRow worker) {
        worker.failuresInRow = 0;
        worker.failedNames.clear();
        worker.blamedJobs.forEach(job -> job.failedOn.remove(worker));
        worker.blamedJobs.clear();
    }

    private static void forgive(WorkerRow worker) {
        for (JobRow job : List.copyOf(worker.blamedJobs)) {
            job.failedOn.remove(worker);
            job.tasks.values().stream()
                    .filter(task -> task.lastFailedOn == worker)
                    .forEach(task -> task.failures = 0);
        }
        worker.blamedJobs.clear();
    }

    private void quarantine(WorkerRow worker, long nowMs) {
        int most = Math.max(1, tables.readyWorkers / MAX_QUARANTINED_DIVISOR);
        if (!quarantineEnabled || worker.trust != WorkerRow.Trust.TRUSTED || tables.quarantinedWorkers >= most) {
            return;
        }
        tables.quarantinedWorkers++;
        startQuarantine(worker, nowMs);
    }

    private void startQuarantine(WorkerRow worker, long nowMs) {
        worker.trust = WorkerRow.Trust.QUARANTINED;
        long wait = FIRST_PROBE_MS << Math.min(worker.quarantineCount, MAX_PROBE_DOUBLINGS);
        worker.quarantineCount++;
        tables.timers.add(nowMs + wait, new TimedAction.ProbeWorker(worker));
        tables.reindex(worker);
    }

    private boolean suspect(JobRow job, WorkerRow worker) {
        boolean succeedsElsewhere = worker.failuresInRow >= REPEATED_FAILURES
                && tables.runTimes.succeededSince(job.spec, worker.successesBeforeFailures);
        return worker.failedNames.size() >= UNLIKE_JOBS || succeedsElsewhere;
    }
}
