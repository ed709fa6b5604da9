package org.acaciafold.fleet.scheduling;

/**
 * The duration limits of the scheduler.
 *
 * @param leaseMs the length of a worker's lease, on the worker's own clock, in milliseconds
 * @param stopMs how long a worker may take to stop a run, in milliseconds
 */
public record SchedulerLimits(long leaseMs, long stopMs) {
    /** The contract with workers allows their clocks to run up to 2% slow. */
    static final double SLOWEST_CLOCK = 0.98;

    /** Covers the rounding of clocks and the drift since the last report of a worker's clock. */
    static final long CLOCK_MARGIN_MS = 300;

    /**
     * Returns how long after the end of its authority all leases granted by the predecessor have expired.
     *
     * @return the duration in milliseconds, on the clock of this host
     */
    public long predecessorLeaseMs() {
        return Math.round((leaseMs + CLOCK_MARGIN_MS) / SLOWEST_CLOCK) + CLOCK_MARGIN_MS;
    }
}
