package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.WorkerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the registry of workers. */
final class RegistrySystem {
    private static final Logger LOG = LoggerFactory.getLogger(RegistrySystem.class);

    /** Reads follow each other within this time unless the store does not answer. */
    private static final long MAX_READ_GAP_MS = 1_500;

    private final Tables tables;
    private long lastReadAtMs = -1;

    /** When entries were first read in this term; negative before. */
    private long firstReadAtMs = -1;

    RegistrySystem(Tables tables) {
        this.tables = tables;
    }

    /** Applies all readable entries; returns the workers that have left, none while entries may be missing. */
    Set<String> update(List<WorkerEntry> entries, boolean complete) {
        firstReadAtMs = firstReadAtMs < 0 ? tables.nowMs : firstReadAtMs;
        Set<String> present = new HashSet<>();
        Map<String, String> arrivedByAddress = new HashMap<>();
        for (WorkerEntry entry : entries) {
            present.add(entry.id());
            WorkerRow row = tables.workers.computeIfAbsent(entry.id(), id -> newRow(entry));
            if (!row.registered) {
                arrivedByAddress.put(entry.address(), entry.id());
                LOG.info("worker registered worker={} address={}", entry.id(), entry.address());
            }
            row.register(entry, tables.nowMs);
            if (row.mayHaveRestartedSinceRecord(entry)) {
                long leaseMs = SilenceSystem.predecessorStrayLeaseMs(entry.incarnation(), tables);
                // the predecessor sent no call after that, whatever the clock of the worker's host shows
                long latestEndMs = firstReadAtMs + tables.limits.strayLeaseMs();
                row.extendPredecessorLease(Math.min(tables.nowMs + leaseMs, latestEndMs));
            }
        }
        recordPresence(present);
        Set<String> left = new HashSet<>();
        for (WorkerRow row : tables.workers.values()) {
            if (complete && row.registered && !present.contains(row.id)) {
                row.deregister();
                left.add(row.id);
                LOG.info("worker deregistered worker={} runs={}", row.id, row.runs.size());
            }
            if (!row.id.equals(arrivedByAddress.getOrDefault(row.address(), row.id))) {
                row.askAtOnce(tables.nowMs);
            }
        }
        return left;
    }

    private WorkerRow newRow(WorkerEntry entry) {
        WorkerRow row = new WorkerRow(entry.id(), entry.address(), entry.incarnation());
        // a worker that returns after its row was removed may have seen a raised token
        row.fence.startAt(tables.recordedToken);
        return row;
    }

    private void recordPresence(Set<String> present) {
        boolean first = lastReadAtMs < 0;
        boolean gap = !first && tables.nowMs - lastReadAtMs > MAX_READ_GAP_MS;
        // what the first read of a term lists has been there before
        long sinceMs = first ? tables.nowMs - RegistryPresence.SETTLING_MS : tables.nowMs;
        tables.workers.values().forEach(row -> row.presence.read(present.contains(row.id), gap, sinceMs));
        lastReadAtMs = tables.nowMs;
    }
}
