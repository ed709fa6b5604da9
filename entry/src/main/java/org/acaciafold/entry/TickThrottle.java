package org.acaciafold.entry;

/**
 * Decides when a term ticks next, so that ticks take half of its thread at most.
 *
 * <p>The other half is left to answers, renewals and heartbeats: what they bring shares the next tick. Without that, a leader
 * with more work than time renews its lease late and gives up calls whose answers wait in its own queue.
 *
 * <pre>{@code
 * pace.ticked(beganAtMs, endedAtMs);
 * long inMs = pace.nextInMs(nowMs);
 * }</pre>
 */
final class TickThrottle {
    /** How often a term ticks without news. */
    static final long MIN_IDLE_DELAY_MS = 40;

    /**
     * Answers that come within this time share a tick; a quarter of what the shortest call for advice takes, so that it does
     * not delay urgent jobs noticeably.
     */
    private static final long MIN_GAP_MS = 4;

    private long earliestMs = Long.MIN_VALUE / 2;
    private long idleDelayMs = MIN_IDLE_DELAY_MS;

    /**
     * Notes a tick.
     *
     * @param beganAtMs when it began, on the steady clock
     * @param endedAtMs when it ended
     */
    void recordTick(long beganAtMs, long endedAtMs) {
        long tookMs = endedAtMs - beganAtMs;
        earliestMs = Math.max(beganAtMs + MIN_GAP_MS, endedAtMs + tookMs);
        idleDelayMs = Math.max(MIN_IDLE_DELAY_MS, tookMs);
    }

    /** Returns in how many milliseconds a tick may follow news, 0 or less when at once. */
    long nextTickDelayMs(long nowMs) {
        return earliestMs - nowMs;
    }

    /** Returns how long after the last tick's end one follows without news, in milliseconds. */
    long idleDelayMs() {
        return idleDelayMs;
    }
}
