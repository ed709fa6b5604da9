package org.acaciafold.fleet.scheduling;

import java.util.Optional;

import org.acaciafold.fleet.WorkerEntry;

/** Determines which workers may get tasks now, by their registration, their answers and their failures. */
final class Eligibility {
    /** A worker must have responded within this time to get tasks; it covers one long renewal and its retry. */
    private static final long MAX_CONTACT_AGE_MS = 3_500;

    private Eligibility() {}

    static boolean eligible(WorkerRow worker, Tables tables) {
        return ineligibility(worker, tables).isEmpty();
    }

    /** Returns the first condition by which a worker gets no tasks; empty when it may get some. */
    static Optional<Ineligibility> ineligibility(WorkerRow worker, Tables tables) {
        return unresponsive(worker, tables)
                .or(() -> setAside(worker, tables.nowMs))
                .or(() -> notOffered(worker, tables));
    }

    private static Optional<Ineligibility> unresponsive(WorkerRow worker, Tables tables) {
        if (!worker.registered) {
            return Optional.of(Ineligibility.NOT_REGISTERED);
        }
        if (worker.missedRenewals != 0) {
            return Optional.of(Ineligibility.MISSED_RENEWAL);
        }
        if (worker.suspect) {
            return Optional.of(Ineligibility.SUSPECT);
        }
        if (worker.silenceRecorded) {
            return Optional.of(Ineligibility.SILENCE_RECORDED);
        }
        if (worker.lastContactAtMs < 0) {
            return Optional.of(Ineligibility.NEVER_ANSWERED);
        }
        if (worker.fence.open()) {
            return Optional.of(Ineligibility.FENCE_OPEN);
        }
        boolean old = tables.nowMs - worker.lastContactAtMs > MAX_CONTACT_AGE_MS;
        return old ? Optional.of(Ineligibility.CONTACT_OLD) : Optional.empty();
    }

    private static Optional<Ineligibility> setAside(WorkerRow worker, long nowMs) {
        if (nowMs < worker.pausedUntilMs) {
            return Optional.of(Ineligibility.PAUSED);
        }
        return nowMs < worker.refusedUntilMs ? Optional.of(Ineligibility.REFUSED_START) : Optional.empty();
    }

    private static Optional<Ineligibility> notOffered(WorkerRow worker, Tables tables) {
        Optional<WorkerEntry> entry = worker.entry();
        if (entry.isEmpty()) {
            return Optional.of(Ineligibility.NO_ENTRY);
        }
        if (!worker.entryIsCurrent()) {
            return Optional.of(Ineligibility.OTHER_INCARNATION);
        }
        if (entry.get().draining()) {
            return Optional.of(Ineligibility.DRAINING);
        }
        if (tables.evacuatedDomains.contains(entry.get().domain())) {
            return Optional.of(Ineligibility.EVACUATED);
        }
        return tables.unreconciled.contains(worker) ? Optional.of(Ineligibility.UNRECONCILED) : Optional.empty();
    }
}
