package org.acaciafold.fleet.scheduling;

/**
 * The bounds that a deployment sets to the scheduler.
 *
 * @param leaseMs the length of the longest leases of workers, on the worker's own clock, in milliseconds
 * @param longestLeaseMs the longest lease that workers accept, to which they shorten longer ones, in milliseconds
 * @param stopMs how long a worker may take to stop a run, in milliseconds
 * @param limitOverage the share of its limit that a workspace may use beyond it
 */
public record SchedulerLimits(long leaseMs, long longestLeaseMs, long stopMs, double limitOverage) {
    /** The contract with workers allows their clocks to run up to 2% slow. */
    static final double SLOWEST_CLOCK = 0.98;

    /** Covers the rounding of clocks and the drift since the last report of a worker's clock. */
    static final long CLOCK_MARGIN_MS = 300;

    /** The longest renewal wait of a worker with runs, so that its lease is renewed many times before it expires. */
    static final long BUSY_WORKER_WAIT_MS = 1_500;

    /** The same for a worker with tasks that last: they are away until its lease has expired, so that is kept short. */
    static final long LASTING_WORKER_WAIT_MS = 500;

    /**
     * How much later a worker may execute a call that it does not answer. Calls name a worker by its identifier, so an
     * incarnation that started meanwhile executes them, too.
     */
    static final long LATEST_EXECUTION_MS = 12_000;

    /** Leases are this much shorter than the longest that workers accept, so that none is cut unnoticed. */
    private static final long LEASE_MARGIN_MS = 1_000;

    /** The contract wants a task that lasts to run again 6 s after its last run, and 3 s later at the latest. */
    private static final long MAX_AWAY_MS = 9_000;

    /** Covers the tick that notices the end of a lease, the record of the claim, and the order to start. */
    private static final long RESTART_MS = 500;

    /**
     * The longest lease that a worker may have been granted just before it was lost and that has still expired in time,
     * also on the slowest clock: 8,030 ms, which has expired for certain (8,030 + 300) / 0.98 = 8,500 ms later.
     */
    private static final long MAX_LEASE_MS = Math.round((MAX_AWAY_MS - RESTART_MS) * SLOWEST_CLOCK) - CLOCK_MARGIN_MS;

    /**
     * Returns limits with the longest leases that workers accept and after which tasks that last are back in time.
     *
     * @param leaseMaxMs the longest lease that workers accept, in milliseconds
     * @param stopMs how long a worker may take to stop a run, in milliseconds
     * @param limitOverage the share of its limit that a workspace may use beyond it, from 0 to 1
     * @return the limits
     */
    public static SchedulerLimits of(long leaseMaxMs, long stopMs, double limitOverage) {
        long leaseMs = Math.min(MAX_LEASE_MS, leaseMaxMs - LEASE_MARGIN_MS);
        return new SchedulerLimits(leaseMs, leaseMaxMs, stopMs, limitOverage);
    }

    /**
     * Returns the length of the lease of a worker. Where tasks last, leases are renewed more often and are as much
     * shorter, so that runs outlast the same loss of contact and a worker that is lost for good is known to be so sooner.
     *
     * @param lasting whether the worker has runs of tasks that last
     * @return the duration in milliseconds, on the worker's own clock
     */
    long leaseMs(boolean lasting) {
        return lasting ? leaseMs - (BUSY_WORKER_WAIT_MS - LASTING_WORKER_WAIT_MS) : leaseMs;
    }

    /**
     * Returns how long after a call was sent the lease that it grants has expired for certain.
     *
     * @param lasting whether the worker has runs of tasks that last
     * @return the duration in milliseconds, on the clock of this host
     */
    long expiredAfterMs(boolean lasting) {
        return (long) Math.ceil((leaseMs(lasting) + CLOCK_MARGIN_MS) / SLOWEST_CLOCK);
    }

    /**
     * Returns how long after a call was sent the lease may last that it has granted to a later incarnation. The end of the
     * lease is a time on the clock of the earlier one, so only the worker's own maximum bounds it.
     *
     * @return the duration in milliseconds, on the clock of this host
     */
    long strayLeaseMs() {
        return LATEST_EXECUTION_MS + acceptedLeaseMs();
    }

    /**
     * Returns how long the longest lease may last that a worker accepts.
     *
     * @return the duration in milliseconds, on the clock of this host
     */
    long acceptedLeaseMs() {
        return (long) Math.ceil((longestLeaseMs + CLOCK_MARGIN_MS) / SLOWEST_CLOCK);
    }

    /**
     * Returns how long after the end of its authority all leases granted by the predecessor have expired.
     *
     * @return the duration in milliseconds, on the clock of this host
     */
    public long predecessorLeaseMs() {
        return Math.round((leaseMs + CLOCK_MARGIN_MS) / SLOWEST_CLOCK) + CLOCK_MARGIN_MS;
    }
}
