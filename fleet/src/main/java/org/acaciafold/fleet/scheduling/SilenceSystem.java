package org.acaciafold.fleet.scheduling;

import java.util.Optional;

import org.acaciafold.fleet.WorkerClaims;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records which workers are silent, and by when their leases have expired.
 *
 * <p>Without that record a new leader must assume that its predecessor granted a lease just before it ended. A worker that
 * answers again gets no lease until its record says that it may.
 */
final class SilenceSystem {
    private static final Logger LOG = LoggerFactory.getLogger(SilenceSystem.class);

    private final Tables tables;

    SilenceSystem(Tables tables) {
        this.tables = tables;
    }

    /** Collects the workers whose records have to be written anew. */
    void run() {
        if (tables.saving) {
            return;
        }
        for (WorkerRow worker : tables.workers.values()) {
            boolean differs = worker.silent() != worker.silenceRecorded;
            boolean canRecord = tables.storeClock.latestMs() > 0 || !worker.silent();
            if (worker.recorded && differs && canRecord && tables.nowMs >= worker.recordRefusedUntilMs) {
                tables.silenceChanged.add(worker);
            }
        }
    }

    /** Returns the record of a worker as of now. */
    static WorkerClaims record(WorkerRow worker, Tables tables) {
        WorkerClaims claims = worker.claims();
        if (!worker.silent() || tables.storeClock.latestMs() <= 0) {
            return claims;
        }
        long remainingMs = Math.max(0, worker.leasesExpiredAtMs(tables.nowMs) - tables.nowMs);
        WorkerClaims.Silence silence =
                new WorkerClaims.Silence(tables.epoch(), tables.storeClock.latestMs() + remainingMs);
        LOG.info(
                "silence recorded worker={} runs={} contactAgeMs={} leaseEndsInMs={}",
                worker.id,
                worker.runs.size(),
                worker.lastContactAtMs < 0 ? -1 : tables.nowMs - worker.lastContactAtMs,
                remainingMs);
        return new WorkerClaims(claims.id(), claims.address(), claims.bornMs(), claims.claims(), Optional.of(silence));
    }

    /**
     * Returns how long the leases of a worker may still last that earlier leaders have granted: from the end of the last
     * one's authority, or as its record says while the worker is silent.
     *
     * @param known the record of the worker
     * @param tables the tables
     * @return the time in milliseconds
     */
    static long predecessorLeaseMs(WorkerClaims known, Tables tables) {
        long longestMs = Math.max(0, tables.limits.predecessorLeaseMs() - tables.storeClock.sincePredecessorMs());
        Optional<WorkerClaims.Silence> silence =
                known.silence().filter(one -> one.epoch() == tables.epoch() - 1 && tables.storeClock.earliestMs() > 0);
        if (silence.isEmpty()) {
            return longestMs;
        }
        long remainingMs = Math.clamp(silence.get().leaseEndsMs() - tables.storeClock.earliestMs(), 0, longestMs);
        LOG.info(
                "silence continued worker={} claims={} leaseEndsInMs={}",
                known.id(),
                known.claims().size(),
                remainingMs);
        return remainingMs;
    }
}
