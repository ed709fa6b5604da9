package org.acaciafold.coordination;

import org.acaciafold.core.model.Resources;

/**
 * What a workspace could use of its upper limit in one slice.
 *
 * @param wanted what its tasks there have and what those that wait ask for
 * @param usable the part that could run at once: what it has, and the same part of each resource that waits, as far as the
 *     slice has room or the workspace is below its fair part of the slice
 */
record AllotmentDemand(Resources wanted, Resources usable) {
    /**
     * Computes the need.
     *
     * @param usage what the workspace has in the slice
     * @param wanted what its tasks there have and what those that wait ask for
     * @param free the room of the slice that nobody has
     * @param fair the fair part of the workspace in the slice
     * @return the need
     */
    static AllotmentDemand of(Resources usage, Resources wanted, Resources free, Resources fair) {
        Resources extra = wanted.minus(usage).max(Resources.empty());
        Resources belowFair = fair.minus(usage).max(Resources.empty());
        double part = Math.max(portion(extra, free), portion(extra, belowFair));
        return new AllotmentDemand(wanted, usage.plus(scaled(extra, part)));
    }

    /** Returns the largest part of an amount of which no resource exceeds the room, at most 1. */
    private static double portion(Resources amount, Resources room) {
        double part = 1;
        part = Math.min(part, fraction(amount.cpuMillis(), room.cpuMillis()));
        part = Math.min(part, fraction(amount.memoryMib(), room.memoryMib()));
        return Math.min(part, fraction(amount.accelerators(), room.accelerators()));
    }

    private static double fraction(long amount, long room) {
        return amount <= 0 ? 1 : (double) room / amount;
    }

    private static Resources scaled(Resources amount, double part) {
        return Resources.of(
                (long) Math.ceil(amount.cpuMillis() * part), (long) Math.ceil(amount.memoryMib() * part), (long)
                        Math.ceil(amount.accelerators() * part));
    }
}
