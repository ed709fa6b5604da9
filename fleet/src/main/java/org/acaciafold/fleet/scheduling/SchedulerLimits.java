package org.acaciafold.fleet.scheduling;

/**
 * The bounds that the scheduler works with.
 *
 * @param leaseMs how long a worker's lease is extended, on its own clock
 * @param stopMs how long a worker may take to stop a run
 */
public record SchedulerLimits(long leaseMs, long stopMs) {
    /** Workers' clocks may run 2% slow, by the contract with them. */
    static final double SLOWEST_CLOCK = 0.98;

    /** Covers the rounding of clocks and the drift since the last reading of a worker's clock. */
    static final long CLOCK_MARGIN_MS = 300;

    /**
     * Returns how long after the end of an earlier leader's authority all leases that it gave have run out.
     *
     * @return milliseconds on our clock
     */
    public long predecessorLeaseMs() {
        return Math.round((leaseMs + CLOCK_MARGIN_MS) / SLOWEST_CLOCK) + CLOCK_MARGIN_MS;
    }
}
