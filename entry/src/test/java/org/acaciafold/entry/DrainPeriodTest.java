package org.acaciafold.entry;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers a rolling restart: each host that ends later than necessary is missing while the next ones stop. */
class DrainPeriodTest {
    private static final long NOW_MS = 1_000;

    @ParameterizedTest
    @CsvSource({
        "6000, 2599, false, false",
        "6000, 2600, false, true",
        "6000, 2600, true, false",
        "6000, 5099, true, false",
        "6000, 5100, true, true",
        "2000, 1000, false, true",
        "2000, 2599, true, false",
        "2000, 2600, true, true"
    })
    void shouldWaitForOpenRequestsOnlyWhenThePlatformHasNoticedTheStop(
            long graceMs, long afterMs, boolean openRequests, boolean over) {
        DrainPeriod period = DrainPeriod.begin(NOW_MS, graceMs);

        assertEquals(over, period.over(NOW_MS + afterMs, openRequests));
    }
}
