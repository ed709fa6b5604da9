package org.acaciafold.fleet.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.WorkerEntry;

/** Measures how much of the CPU of each service's registered workers is used in a tick. */
final class FleetUtilization {
    private final Map<String, CpuUse> byService = new HashMap<>();

    private FleetUtilization() {}

    static FleetUtilization of(Collection<WorkerRow> workers) {
        FleetUtilization utilization = new FleetUtilization();
        for (WorkerRow worker : workers) {
            if (counts(worker)) {
                WorkerEntry entry = worker.entry().orElseThrow();
                CpuUse use = utilization.byService.computeIfAbsent(entry.service(), service -> new CpuUse());
                use.totalMillis += entry.capacity().cpuMillis();
                use.usedMillis += worker.used.cpuMillis();
            }
        }
        return utilization;
    }

    /** Returns whether a worker counts; an entry that was never answered for may be one of another writer. */
    static boolean counts(WorkerRow worker) {
        return worker.registered && worker.entry().isPresent() && (worker.lastContactAtMs >= 0 || worker.recorded);
    }

    /** Adds the CPU of tasks that were chosen to start on a service. */
    void add(String service, Resources each, int tasks) {
        CpuUse use = byService.get(service);
        if (use != null) {
            use.usedMillis += each.cpuMillis() * tasks;
        }
    }

    /** Returns the share of a service's CPU that is used; 1 when it has no workers. */
    double usedShare(String service) {
        CpuUse use = byService.get(service);
        return use == null || use.totalMillis == 0 ? 1 : (double) use.usedMillis / use.totalMillis;
    }

    /** The CPU of the workers of one service, in thousandths of a processor. */
    private static final class CpuUse {
        private long totalMillis;
        private long usedMillis;
    }
}
