package org.acaciafold.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers a store that responds to nobody for some seconds, while clients make a limited number of attempts. */
class OutageTrackerTest {
    private static final long BEGIN_MS = 10_000;

    private final OutageTracker tracker = new OutageTracker();

    @ParameterizedTest
    @CsvSource({"0, 1", "1999, 1", "2000, 2", "3500, 3", "4000, 4", "60000, 4"})
    void shouldAskClientsToWaitForAsLongAsTheOutageHasLasted(long lastedMs, int seconds) {
        tracker.observe(false, BEGIN_MS);
        tracker.observe(false, BEGIN_MS + lastedMs);

        assertEquals(seconds, tracker.retryAfterS(BEGIN_MS + lastedMs));
    }

    @Test
    void shouldBeginAnewWhenTheHostHasServedInBetween() {
        tracker.observe(false, BEGIN_MS);
        tracker.observe(true, BEGIN_MS + 4_000);
        tracker.observe(false, BEGIN_MS + 5_000);

        assertEquals(1, tracker.retryAfterS(BEGIN_MS + 5_000));
    }

    /** An attempt and four retries, as clients of the users' platform make them, must outlast an outage of 5 s. */
    @Test
    void shouldReachTheEndOfAnOutageOfFiveSecondsWithFourRetriesFromItsFirstSecond() {
        long nowMs = BEGIN_MS;
        for (int retry = 0; retry < 4; retry++) {
            tracker.observe(false, nowMs);
            nowMs += 1_000L * tracker.retryAfterS(nowMs);
        }

        assertTrue(nowMs - BEGIN_MS >= 5_000, "covered " + (nowMs - BEGIN_MS));
    }
}
