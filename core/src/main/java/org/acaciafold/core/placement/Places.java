package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/** Counts how often a demand fits into an amount. */
final class Places {
    private Places() {}

    /** Returns how many tasks of a demand fit into what is available, at most {@link Integer#MAX_VALUE}. */
    static int in(Resources available, Resources demand) {
        long places = Integer.MAX_VALUE;
        places = Math.min(places, part(available.cpuMillis(), demand.cpuMillis()));
        places = Math.min(places, part(available.memoryMib(), demand.memoryMib()));
        places = Math.min(places, part(available.accelerators(), demand.accelerators()));
        return (int) places;
    }

    private static long part(long available, long demand) {
        if (demand <= 0) {
            return available < 0 ? 0 : Integer.MAX_VALUE;
        }
        return Math.max(0, available) / demand;
    }
}
