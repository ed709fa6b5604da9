package org.acaciafold.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Pattern: answers come faster than a leader's ticks can work them off. */
class TickPaceTest {
    private static final long PLAYED_MS = 100_000;

    private final TickPace pace = new TickPace();

    /** Guards against a leader whose ticks leave no time to renew its lease and to take answers (RECOVER). */
    @ParameterizedTest
    @ValueSource(longs = {1, 5, 18, 51, 400})
    void shouldLeaveHalfOfTheTimeToAnswersWhenNewsNeverEnds(long tickMs) {
        long nowMs = 0;
        long busyMs = 0;
        while (nowMs < PLAYED_MS) {
            nowMs += Math.max(0, pace.nextInMs(nowMs));
            pace.ticked(nowMs, nowMs + tickMs);
            nowMs += tickMs;
            busyMs += tickMs;
        }

        assertTrue(busyMs <= nowMs / 2 + tickMs, "busy for " + busyMs);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 40, 90})
    void shouldPauseAsLongAsTheTickTookWhenThereIsNoNews(long tickMs) {
        pace.ticked(1_000, 1_000 + tickMs);

        assertEquals(Math.max(TickPace.IDLE_MS, tickMs), pace.idleMs());
    }

    @Test
    void shouldTickAtOnceWhenTheLastTickIsLongPast() {
        pace.ticked(1_000, 1_002);

        assertTrue(pace.nextInMs(1_004) <= 0);
    }
}
