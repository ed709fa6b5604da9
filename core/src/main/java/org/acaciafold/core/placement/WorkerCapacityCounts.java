package org.acaciafold.core.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.model.Resources;

/** Counts the known workers of each capacity, to decide which jobs can ever run. */
final class WorkerCapacityCounts {
    private static final Comparator<Resources> ORDER = Comparator.comparingLong(Resources::cpuMillis)
            .thenComparingLong(Resources::memoryMib)
            .thenComparingLong(Resources::accelerators);
    private static final int STEPS = 64;

    private final Map<Resources, Integer> counts = new TreeMap<>(ORDER);
    private long version;

    void add(Resources capacity, int change) {
        int count = counts.merge(capacity, change, Integer::sum);
        if (count == 0) {
            counts.remove(capacity);
        }
        version++;
    }

    /** Returns a version number that changes with every change of the workers. */
    long version() {
        return version;
    }

    /** Returns whether a number of tasks would fit at once on empty workers; true while no worker is known. */
    boolean fit(Resources demand, int tasks) {
        if (counts.isEmpty()) {
            return true;
        }
        long fitting = 0;
        for (Map.Entry<Resources, Integer> kind : counts.entrySet()) {
            fitting += (long) kind.getValue() * TaskFit.count(kind.getKey(), demand);
            if (fitting >= tasks) {
                return true;
            }
        }
        return false;
    }

    /** Returns the largest part of a demand, in steps of 1/64, at which the number of tasks would fit. */
    Resources largest(Resources demand, int tasks) {
        for (int step = STEPS; step > 0; step--) {
            Resources part = Resources.of(
                    demand.cpuMillis() * step / STEPS,
                    demand.memoryMib() * step / STEPS,
                    demand.accelerators() * step / STEPS);
            if (fit(part, tasks)) {
                return part;
            }
        }
        return Resources.empty();
    }
}
