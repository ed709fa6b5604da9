package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.WorkerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ends the runs on workers that do not answer once these cannot go on, and removes workers that have left. */
final class LeaseExpiry {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseExpiry.class);

    private final Tables tables;
    private final EndSystem ends;
    private final CrashSystem crashes;

    LeaseExpiry(Tables tables, EndSystem ends, CrashSystem crashes) {
        this.tables = tables;
        this.ends = ends;
        this.crashes = crashes;
    }

    /** Ends the runs of unresponsive workers whose leases have provably expired, and removes deregistered workers. */
    void run(List<String> removedWorkers) {
        crashes.run();
        for (WorkerRow worker : List.copyOf(tables.workers.values())) {
            endFormerRuns(worker);
            if (worker.missedRenewals == 0 && worker.registered || !worker.leaseExpired(tables.nowMs)) {
                continue;
            }
            if (worker.missedRenewals > 0) {
                reportExpiry(worker);
                crashes.leaseExpired(worker);
                endRuns(worker, "lease expired");
            }
            if (!worker.registered && worker.runs.isEmpty()) {
                tables.workers.remove(worker.id);
                tables.unreconciled.remove(worker);
                if (worker.recorded) {
                    removedWorkers.add(worker.id);
                }
                LOG.info("worker removed worker={}", worker.id);
            }
        }
    }

    /** Ends all runs on a worker. */
    void endRuns(WorkerRow worker, String reason) {
        long awaySinceMs = worker.lastContactAtMs >= 0 ? worker.lastContactAtMs : tables.nowMs;
        for (RunRow run : List.copyOf(worker.runs.values())) {
            ends.removeLostRun(run, reason);
            run.task.step.waitsSince(awaySinceMs);
        }
        tables.unreconciled.remove(worker);
    }

    /**
     * Ends the runs on a worker that this leader has never reached, if its entry is of a later incarnation than the one that
     * had listed them.
     */
    private void endFormerRuns(WorkerRow worker) {
        long presentIncarnation = worker.entry().map(WorkerEntry::incarnation).orElse(0L);
        if (worker.lastContactAtMs >= 0 || presentIncarnation <= worker.incarnation) {
            return;
        }
        for (RunRow run : List.copyOf(worker.runs.values())) {
            if (run.listed()) {
                ends.removeLostRun(run, "its incarnation has ended");
                run.task.step.waitsSince(tables.nowMs);
            }
        }
    }

    private void reportExpiry(WorkerRow worker) {
        if (!worker.runs.isEmpty()) {
            LOG.info(
                    "lease expired worker={} runs={} lasting={} contactAgeMs={} bound={}",
                    worker.id,
                    worker.runs.size(),
                    worker.hasLastingRuns(),
                    Age.since(worker.lastContactAtMs, tables.nowMs),
                    LeaseBound.of(worker, tables.nowMs));
        }
    }
}
