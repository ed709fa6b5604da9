package org.acaciafold.fleet.scheduling;

import java.util.Optional;

import org.acaciafold.fleet.WorkerEntry;

/** Determines which workers may get tasks now, by their registration, their answers and their failures. */
final class Eligibility {
    /** A worker must have responded within this time to get tasks; it covers one long renewal and its retry. */
    private static final long MAX_CONTACT_AGE_MS = 3_500;

    private Eligibility() {}

    static boolean eligible(WorkerRow worker, Tables tables) {
        Optional<WorkerEntry> entry = worker.entry();
        return worker.registered
                && worker.missedRenewals == 0
                && !worker.suspect
                && !worker.silenceRecorded
                && worker.lastContactAtMs >= 0
                && tables.nowMs - worker.lastContactAtMs <= MAX_CONTACT_AGE_MS
                && tables.nowMs >= worker.pausedUntilMs
                && tables.nowMs >= worker.refusedUntilMs
                && entry.isPresent()
                && worker.entryIsCurrent()
                && !entry.get().draining()
                && !tables.evacuatedDomains.contains(entry.get().domain())
                && !tables.unreconciled.contains(worker);
    }
}
