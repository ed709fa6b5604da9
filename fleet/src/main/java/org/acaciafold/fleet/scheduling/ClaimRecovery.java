package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Restores the runs that an earlier leader may have left on workers. */
final class ClaimRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(ClaimRecovery.class);

    private ClaimRecovery() {}

    /**
     * Adds the recorded workers, and a run for each task that may be running; it occupies capacity until its worker
     * proves that it is absent.
     *
     * @param tables the tables, with all jobs
     * @param workers the recorded claims of the workers
     */
    static void restore(Tables tables, List<WorkerClaims> workers) {
        for (WorkerClaims known : workers) {
            WorkerRow row = tables.workers.computeIfAbsent(
                    known.id(), id -> new WorkerRow(id, known.address(), known.bornMs()));
            row.recorded = true;
            long leaseMs = SilenceSystem.predecessorLeaseMs(known, tables);
            row.predecessorLeaseEndsAtMs = tables.nowMs + leaseMs;
            row.silentBefore = known.silence().isPresent();
            tables.unreconciled.add(row);
        }
        Map<TaskName, LatestClaim> latest = new HashMap<>();
        for (WorkerClaims record : workers) {
            for (int i = 0; i < record.claims().size(); i++) {
                WorkerClaims.Claim claim = record.claims().get(i);
                if (claim.run() < 1) {
                    LOG.warn("claim ignored task={} run={} worker={}", claim.task(), claim.run(), record.id());
                    continue;
                }
                long listedBy = i < record.listed() ? record.bornMs() : 0;
                LatestClaim next = new LatestClaim(tables.workers.get(record.id()), claim.run(), listedBy);
                // a run is claimed only after the previous one has provably ended, so the highest number is current
                latest.merge(claim.task(), next, (old, other) -> other.run > old.run ? other : old);
            }
        }
        latest.forEach((name, claim) -> tables.task(name).ifPresent(task -> restore(tables, task, claim)));
        LOG.info("term started jobs={} active={} workers={}", tables.jobs.size(), tables.active.size(), workers.size());
    }

    private static void restore(Tables tables, TaskRow task, LatestClaim claim) {
        task.lastRun = Math.max(task.lastRun, claim.run);
        if (task.done || task.failedRuns.contains(claim.run) || task.step.job.state.ended()) {
            return;
        }
        RunRow run = new RunRow(task, claim.run, claim.worker, task.step.spec.each());
        run.phase = RunPhase.UNCONFIRMED;
        run.listedBy = claim.listedBy;
        // a worker that has responded to this leader refuses orders of earlier ones, so a report without the run
        // proves its absence
        run.confirmedAtMs = tables.nowMs;
        tables.begin(run);
    }

    private record LatestClaim(WorkerRow worker, int run, long listedBy) {}
}
