package org.acaciafold.fleet.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.WorkerClaims;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records which workers are silent, and by when their leases have expired, and which get short leases only.
 *
 * <p>Without that record a new leader must assume that its predecessor granted a lease just before it ended. A worker that
 * answers again gets no lease until its record says that it may.
 */
final class SilenceSystem {
    private static final Logger LOG = LoggerFactory.getLogger(SilenceSystem.class);

    /** A leader calls each worker at least every two seconds, and notices within this time that it has restarted. */
    private static final long RESTART_NOTICED_MS = 3_000;

    /** Records in one batch that only tell of short leases, so that they do not delay its claims, also after a takeover. */
    private static final int MAX_SHORT_LEASES_TOLD = 8;

    private final Tables tables;

    SilenceSystem(Tables tables) {
        this.tables = tables;
    }

    /** Collects the workers whose records have to be written anew, since they are silent, answer or may get longer leases. */
    void run() {
        if (tables.saving) {
            return;
        }
        int told = 0;
        for (WorkerRow worker : tables.workers.values()) {
            if (told < MAX_SHORT_LEASES_TOLD && hasUntoldShortLeases(worker)) {
                told++;
                tables.outdatedRecords.add(worker);
            }
            boolean mayGetLonger = worker.shortLeasesSinceMs > 0 && !worker.hasLastingRuns();
            boolean differs = worker.silent() != worker.silenceRecorded || mayGetLonger;
            boolean canRecord = tables.storeClock.latestMs() > 0 || !worker.silent();
            if (worker.recorded && differs && canRecord && tables.nowMs >= worker.recordRefusedUntilMs) {
                tables.outdatedRecords.add(worker);
            }
        }
    }

    /** Returns whether the record was written before the store's clock was known, or by an earlier leader. */
    private boolean hasUntoldShortLeases(WorkerRow worker) {
        return worker.recorded
                && worker.hasLastingRuns()
                && worker.answers()
                && worker.shortLeasesSinceMs == 0
                && tables.storeClock.latestMs() > 0
                && tables.nowMs >= worker.recordRefusedUntilMs;
    }

    /** Returns the record of a worker as of now. */
    static WorkerClaims record(WorkerRow worker, Tables tables) {
        long strayMs = worker.strayLeasesEndAtMs() - tables.nowMs;
        boolean stray = strayMs > 0 && tables.storeClock.latestMs() > 0;
        if (worker.hasLastingRuns() && worker.shortLeasesSinceMs == 0) {
            worker.shortLeasesSinceMs = tables.storeClock.latestMs();
        }
        WorkerClaims claims = claims(worker, stray ? tables.storeClock.latestMs() + strayMs : 0, tables);
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
        return new WorkerClaims(
                claims.id(),
                claims.address(),
                claims.bornMs(),
                claims.claims(),
                Optional.of(silence),
                claims.strayLeaseEndsMs(),
                claims.shortLeases(),
                claims.listed());
    }

    private static WorkerClaims claims(WorkerRow worker, long strayLeaseEndsMs, Tables tables) {
        List<RunRow> runs = worker.runs.values().stream()
                .sorted(Comparator.comparing(run -> !run.listed()))
                .toList();
        List<WorkerClaims.Claim> claims = runs.stream()
                .map(run -> new WorkerClaims.Claim(run.task.name, run.number))
                .toList();
        Optional<WorkerClaims.ShortLeases> shortLeases = worker.hasLastingRuns() && worker.shortLeasesSinceMs > 0
                ? Optional.of(new WorkerClaims.ShortLeases(tables.epoch(), worker.shortLeasesSinceMs))
                : Optional.empty();
        return new WorkerClaims(
                worker.id,
                worker.answeredAddress(),
                worker.incarnation,
                claims,
                Optional.empty(),
                strayLeaseEndsMs,
                shortLeases,
                (int) runs.stream().filter(RunRow::listed).count());
    }

    /** Returns how long a lease may still last that the predecessor has granted to a worker that got short ones only. */
    private static long shortLeaseMs(WorkerClaims known, Tables tables) {
        StoreClock clock = tables.storeClock;
        boolean clockKnown = clock.earliestMs() > 0 && clock.predecessorEndsMs() > 0;
        return known.shortLeases()
                .filter(one -> one.epoch() == tables.predecessorEpoch && clockKnown)
                .map(one -> Math.max(
                        tables.limits.expiredAfterMs(true) - clock.sincePredecessorMs(),
                        tables.limits.expiredAfterMs(false) - (clock.earliestMs() - one.sinceMs())))
                .map(remainingMs -> Math.max(0, remainingMs))
                .orElse(Long.MAX_VALUE);
    }

    private static long recordedStrayLeaseMs(WorkerClaims known, Tables tables) {
        long storeMs = tables.storeClock.earliestMs();
        boolean told = known.strayLeaseEndsMs() > 0 && storeMs > 0;
        return told ? Math.clamp(known.strayLeaseEndsMs() - storeMs, 0, tables.limits.strayLeaseMs()) : 0;
    }

    /**
     * Returns how long the leases may still last that calls of the predecessor have granted to an incarnation while they
     * were meant for an earlier one.
     *
     * @param incarnation when the incarnation started, in milliseconds since 1970
     * @param tables the tables
     * @return the time in milliseconds, 0 if it started long before the end of the predecessor's authority
     */
    static long predecessorStrayLeaseMs(long incarnation, Tables tables) {
        long strayMs = tables.limits.strayLeaseMs();
        long sinceStartMs = RESTART_NOTICED_MS + strayMs - Math.max(0, tables.wallMs - incarnation);
        return Math.max(0, Math.min(sinceStartMs, strayMs - tables.storeClock.sincePredecessorMs()));
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
        long longestMs = Math.min(
                Math.max(0, tables.limits.predecessorLeaseMs() - tables.storeClock.sincePredecessorMs()),
                shortLeaseMs(known, tables));
        Optional<WorkerClaims.Silence> silence = known.silence()
                .filter(one -> one.epoch() == tables.predecessorEpoch && tables.storeClock.earliestMs() > 0);
        if (silence.isEmpty()) {
            return Math.max(longestMs, recordedStrayLeaseMs(known, tables));
        }
        long strayMs = Math.max(0, tables.limits.strayLeaseMs() - tables.storeClock.sincePredecessorMs());
        long remainingMs = Math.clamp(silence.get().leaseEndsMs() - tables.storeClock.earliestMs(), 0, strayMs);
        LOG.info(
                "silence continued worker={} claims={} leaseEndsInMs={}",
                known.id(),
                known.claims().size(),
                remainingMs);
        return remainingMs;
    }
}
