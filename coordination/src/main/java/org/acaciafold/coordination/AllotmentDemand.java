package org.acaciafold.coordination;

import org.acaciafold.core.model.Resources;

/**
 * The part of its upper limit that a workspace could use in one slice.
 *
 * @param wanted the resources of its running tasks in the slice plus the demand of its waiting tasks
 * @param usable the part that could run at once: the resources in use plus the same fraction of each waiting
 *     resource, as far as the slice has free capacity or the workspace is below its fair share of the slice
 */
record AllotmentDemand(Resources wanted, Resources usable) {
    /**
     * Computes the demand of a workspace in one slice.
     *
     * @param usage the resources that the workspace uses in the slice
     * @param wanted the resources of its running tasks in the slice plus the demand of its waiting tasks
     * @param free the free capacity of the slice
     * @param fair the fair share of the workspace in the slice
     * @return the demand
     */
    static AllotmentDemand of(Resources usage, Resources wanted, Resources free, Resources fair) {
        Resources extra = wanted.minus(usage).max(Resources.empty());
        Resources belowFair = fair.minus(usage).max(Resources.empty());
        double part = Math.max(portion(extra, free), portion(extra, belowFair));
        return new AllotmentDemand(wanted, usage.plus(scaled(extra, part)));
    }

    /** Returns the largest fraction, at most 1, of an amount that fits the available resources. */
    private static double portion(Resources amount, Resources available) {
        double part = 1;
        part = Math.min(part, fraction(amount.cpuMillis(), available.cpuMillis()));
        part = Math.min(part, fraction(amount.memoryMib(), available.memoryMib()));
        return Math.min(part, fraction(amount.accelerators(), available.accelerators()));
    }

    private static double fraction(long amount, long available) {
        return amount <= 0 ? 1 : (double) available / amount;
    }

    private static Resources scaled(Resources amount, double part) {
        return Resources.of(
                (long) Math.ceil(amount.cpuMillis() * part), (long) Math.ceil(amount.memoryMib() * part), (long)
                        Math.ceil(amount.accelerators() * part));
    }
}
