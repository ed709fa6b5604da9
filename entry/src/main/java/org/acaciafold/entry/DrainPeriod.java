package org.acaciafold.entry;

/**
 * Determines how long a stopping host goes on serving requests.
 *
 * <p>Requests keep arriving until the platform has noticed that the host is not ready. Afterwards the host waits only for
 * the requests that it is processing, not for connections that their clients keep open: the sooner it ends, the sooner
 * its successor serves.
 *
 * <pre>{@code
 * DrainPeriod period = DrainPeriod.begin(nowMs, graceMs);
 * while (!period.over(nowMs, openRequests)) {
 *     pause();
 * }
 * }</pre>
 *
 * @param earliestEndMs when the period may end, on the monotonic clock
 * @param latestEndMs when it ends at the latest
 */
record DrainPeriod(long earliestEndMs, long latestEndMs) {
    /** The platform checks readiness once a second and stops using a host after two failures. */
    static final long NOTICE_MS = 2_600;

    /** Part of the grace period that is reserved for closing connections and ending the process. */
    static final long CLOSE_RESERVE_MS = 900;

    /**
     * Begins the period of a host that was told to stop.
     *
     * @param nowMs the monotonic clock
     * @param graceMs how long after that the platform ends the process, in milliseconds
     * @return the period
     */
    static DrainPeriod begin(long nowMs, long graceMs) {
        return new DrainPeriod(
                nowMs + Math.min(NOTICE_MS, graceMs / 2), nowMs + Math.max(NOTICE_MS, graceMs - CLOSE_RESERVE_MS));
    }

    boolean over(long nowMs, boolean openRequests) {
        return nowMs >= earliestEndMs && (!openRequests || nowMs >= latestEndMs);
    }
}
