package org.acaciafold.entry;

/**
 * Chooses when clients that are refused should come back.
 *
 * <p>An outage most likely lasts about as long again as it has lasted so far. Clients make only a few attempts, so an
 * interval that stays short would use them all up during the outage. Clients that were refused at different times come
 * back at different times.
 *
 * <pre>{@code
 * tracker.observe(canServe, nowMs);
 * int seconds = tracker.retryAfterS(nowMs);
 * }</pre>
 */
final class OutageTracker {
    private static final long MS_PER_S = 1_000;

    /** Clients of short jobs gain nothing by waiting longer, and the next attempt may reach another host. */
    private static final int MAX_RETRY_AFTER_S = 4;

    private static final long NONE = Long.MAX_VALUE;

    private long beganAtMs = NONE;

    /** Records whether this host could serve a request now. */
    void observe(boolean serving, long nowMs) {
        beganAtMs = serving ? NONE : Math.min(beganAtMs, nowMs);
    }

    /** Returns whether the host could not serve when that was last recorded. */
    boolean ongoing() {
        return beganAtMs != NONE;
    }

    /** Returns after how many seconds a client that is refused now should try again. */
    int retryAfterS(long nowMs) {
        long lastedS = beganAtMs == NONE ? 0 : (nowMs - beganAtMs) / MS_PER_S;
        return Math.clamp(lastedS, 1, MAX_RETRY_AFTER_S);
    }
}
