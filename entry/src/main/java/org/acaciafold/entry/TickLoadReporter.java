package org.acaciafold.entry;

import org.acaciafold.fleet.scheduling.TickCost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs once a second how much of the leader's time its ticks take and how many steps wait.
 *
 * <p>A leader whose ticks take most of its time sends replies late and renews its lease late.
 */
final class TickLoadReporter {
    private static final Logger LOG = LoggerFactory.getLogger(TickLoadReporter.class);

    /** Limits how often the line is logged. */
    private static final long PERIOD_MS = 1_000;

    private final LeaseKeeper lease;
    private final HostMetrics metrics;
    private long reportedAtMs = Long.MIN_VALUE / 2;
    private int ticks;
    private int searches;
    private long busyMs;
    private long longestMs;

    /**
     * Creates the reporter of a term.
     *
     * @param lease the lease of the term
     * @param metrics the metrics to which each tick is added
     */
    TickLoadReporter(LeaseKeeper lease, HostMetrics metrics) {
        this.lease = lease;
        this.metrics = metrics;
    }

    /**
     * Records a tick.
     *
     * @param beganAtMs when it began, on the monotonic clock
     * @param endedAtMs when it ended
     * @param cost the number of searches in the tick and of steps that wait
     */
    void recordTick(long beganAtMs, long endedAtMs, TickCost cost) {
        long tookMs = endedAtMs - beganAtMs;
        metrics.tick(tookMs);
        ticks++;
        searches += cost.searches();
        busyMs += tookMs;
        longestMs = Math.max(longestMs, tookMs);
        if (endedAtMs - reportedAtMs >= PERIOD_MS) {
            LOG.info(
                    "term load epoch={} ticks={} busyMs={} longestMs={} searches={} waitingSteps={} leaseAgeMs={}",
                    lease.record().epoch(),
                    ticks,
                    busyMs,
                    longestMs,
                    searches,
                    cost.waitingSteps(),
                    lease.sinceRenewalMs());
            reportedAtMs = endedAtMs;
            ticks = 0;
            searches = 0;
            busyMs = 0;
            longestMs = 0;
        }
    }
}
