package org.acaciafold.fleet.leadership;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

class LeaseValidityTest {
    private static final long SENT_MS = 500;
    private static final long SENT_WALL_MS = 1_700_000_000_000L;

    @ParameterizedTest
    @CsvSource({
        "0, 0, true",
        "1999, 1999, true",
        "2000, 2000, false",
        // the monotonic clock of a suspended machine stops, the wall clock does not
        "10, 5000, false",
        "2500, 10, false",
        "10, -5000, true"
    })
    void shouldBeValidOnlyWhileBothClocksAreWithinTheLease(long elapsedMs, long wallElapsedMs, boolean valid) {
        LeaseValidity validity = LeaseValidity.create();
        validity.confirmed(SENT_MS, SENT_WALL_MS, 2_000);

        assertEquals(valid, validity.valid(SENT_MS + elapsedMs, SENT_WALL_MS + wallElapsedMs));
    }

    @Test
    void shouldBeInvalidWhenTheLeaseWasNeverConfirmedOrIsLost() {
        LeaseValidity validity = LeaseValidity.create();
        assertFalse(validity.valid(0, 0));

        validity.confirmed(SENT_MS, SENT_WALL_MS, 2_000);
        validity.lost();

        assertFalse(validity.valid(SENT_MS, SENT_WALL_MS));
    }
}
