package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Workspace;

/**
 * Determines which jobs exceed the rate that their workspace is entitled to, its weight in jobs per second.
 *
 * <p>Jobs over rate run only when nothing else needs the capacity, so that one workspace that sends many times its
 * usual traffic does not displace the others.
 */
final class WorkspaceRateLimiter {
    /** The largest burst within the rate, in seconds of the workspace's rate. */
    private static final double BURST_S = 1.0;

    private static final double MS_PER_S = 1_000.0;

    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /**
     * Counts a job against the rate of its workspace, and returns whether it exceeds that rate.
     *
     * @param job the job
     * @param config the configuration
     * @param wallMs the wall clock of this host, in milliseconds since 1970
     */
    boolean exceedsRate(Job job, FleetConfig config, long wallMs) {
        double perSecond =
                config.workspace(job.workspace()).map(Workspace::weight).orElse(0.0);
        if (perSecond <= 0) {
            return false;
        }
        return !buckets.computeIfAbsent(job.workspace(), name -> new TokenBucket())
                .tryAcquire(job.acceptedAtMs(), wallMs, perSecond);
    }

    /** A token bucket that refills by the wall clock of the hosts; times later than this host's clock count as now. */
    private static final class TokenBucket {
        private double tokens = Double.MAX_VALUE;
        private long refilledAtMs = Long.MIN_VALUE;

        private boolean tryAcquire(long acceptedAtMs, long wallMs, double perSecond) {
            long nowMs = Math.min(acceptedAtMs, wallMs);
            // nothing refills until the clock is past that time, which was that of a clock that has been set back
            refilledAtMs = Math.min(refilledAtMs, wallMs);
            double capacity = Math.max(1, perSecond * BURST_S);
            double refill = refilledAtMs == Long.MIN_VALUE ? capacity : (nowMs - refilledAtMs) / MS_PER_S * perSecond;
            tokens = Math.min(capacity, tokens + Math.max(0, refill));
            refilledAtMs = Math.max(refilledAtMs, nowMs);
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }
}
