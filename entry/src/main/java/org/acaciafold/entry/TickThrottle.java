package org.acaciafold.entry;

/**
 * Limits the ticks of a term to half of its thread's time.
 *
 * <p>The other half is left for replies, renewals and heartbeats; the next tick processes all changes that they bring.
 * Without this limit an overloaded leader renews its lease late, and abandons calls whose replies wait in its own
 * queue.
 *
 * <pre>{@code
 * throttle.recordTick(beganAtMs, endedAtMs);
 * long delayMs = throttle.nextTickDelayMs(nowMs);
 * }</pre>
 */
final class TickThrottle {
    /** The shortest delay between ticks while nothing changes. */
    static final long MIN_IDLE_DELAY_MS = 40;

    /**
     * Changes that arrive within this time are processed by one tick. It is a quarter of the duration of the shortest
     * advice call, so it does not delay urgent jobs noticeably.
     */
    private static final long MIN_GAP_MS = 4;

    private long earliestMs = Long.MIN_VALUE / 2;
    private long idleDelayMs = MIN_IDLE_DELAY_MS;

    /**
     * Records a tick.
     *
     * @param beganAtMs when it began, on the monotonic clock
     * @param endedAtMs when it ended
     */
    void recordTick(long beganAtMs, long endedAtMs) {
        long tookMs = endedAtMs - beganAtMs;
        earliestMs = Math.max(beganAtMs + MIN_GAP_MS, endedAtMs + tookMs);
        idleDelayMs = Math.max(MIN_IDLE_DELAY_MS, tookMs);
    }

    /** Returns the delay before the next tick after a change, in milliseconds; 0 or less if it may run at once. */
    long nextTickDelayMs(long nowMs) {
        return earliestMs - nowMs;
    }

    /** Returns the delay from the end of the last tick to the next one if nothing changes, in milliseconds. */
    long idleDelayMs() {
        return idleDelayMs;
    }
}
