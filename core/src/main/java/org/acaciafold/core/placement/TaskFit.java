package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/** Computes how many tasks of a demand fit into an amount of resources. */
final class TaskFit {
    private TaskFit() {}

    /** Returns how many tasks of a demand fit into the available resources, at most {@link Integer#MAX_VALUE}. */
    static int count(Resources available, Resources demand) {
        long count = Integer.MAX_VALUE;
        count = Math.min(count, quotient(available.cpuMillis(), demand.cpuMillis()));
        count = Math.min(count, quotient(available.memoryMib(), demand.memoryMib()));
        count = Math.min(count, quotient(available.accelerators(), demand.accelerators()));
        return (int) count;
    }

    private static long quotient(long available, long demand) {
        if (demand <= 0) {
            return available < 0 ? 0 : Integer.MAX_VALUE;
        }
        return Math.max(0, available) / demand;
    }
}
