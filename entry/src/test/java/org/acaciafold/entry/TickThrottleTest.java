package org.acaciafold.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers an overloaded leader: replies arrive faster than its ticks can process them. */
class TickThrottleTest {
    private static final long SIMULATED_MS = 100_000;

    private final TickThrottle throttle = new TickThrottle();

    /** Guards against a leader whose ticks leave no time to renew its lease and to process replies (RECOVER). */
    @ParameterizedTest
    @ValueSource(longs = {1, 5, 18, 51, 400})
    void shouldLeaveHalfOfTheTimeForRepliesWhenTheyArriveWithoutPause(long tickMs) {
        long nowMs = 0;
        long busyMs = 0;
        while (nowMs < SIMULATED_MS) {
            nowMs += Math.max(0, throttle.nextTickDelayMs(nowMs));
            throttle.recordTick(nowMs, nowMs + tickMs);
            nowMs += tickMs;
            busyMs += tickMs;
        }

        assertTrue(busyMs <= nowMs / 2 + tickMs, "busy for " + busyMs);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 40, 90})
    void shouldPauseAsLongAsTheTickTookWhenNothingArrives(long tickMs) {
        throttle.recordTick(1_000, 1_000 + tickMs);

        assertEquals(Math.max(TickThrottle.MIN_IDLE_DELAY_MS, tickMs), throttle.idleDelayMs());
    }

    @Test
    void shouldTickAtOnceWhenTheLastTickIsLongPast() {
        throttle.recordTick(1_000, 1_002);

        assertTrue(throttle.nextTickDelayMs(1_004) <= 0);
    }
}
