package org.acaciafold.entry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RecentEventsTest {
    private static final long PERIOD_MS = 1_000;

    private final RecentEvents events = new RecentEvents(2, PERIOD_MS);

    @Test
    void shouldPermitNoEventWhenThePeriodHoldsTheLimit() {
        events.add(100);
        assertTrue(events.permits(200));
        events.add(200);
        assertFalse(events.permits(100 + PERIOD_MS - 1));
    }

    @Test
    void shouldPermitAnEventWhenTheFirstOneIsOlderThanThePeriod() {
        events.add(100);
        events.add(200);
        assertTrue(events.permits(100 + PERIOD_MS));
        events.add(100 + PERIOD_MS);
        assertFalse(events.permits(200 + PERIOD_MS - 1));
    }
}
