package org.acaciafold.fleet.leadership;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ChallengeTest {
    private final Challenge challenge = Challenge.of(2_000, 250, 1_000);

    @Test
    void shouldWaitForTheLeaseAndItsMarginWhenTheRowStaysTheSame() {
        assertFalse(challenge.observed(7, 10_000));
        assertFalse(challenge.observed(7, 12_249));
        assertTrue(challenge.observed(7, 12_250));
    }

    @Test
    void shouldWaitAnewWhenTheHolderHasRenewed() {
        assertFalse(challenge.observed(7, 10_000));
        assertFalse(challenge.observed(8, 12_250));
        assertFalse(challenge.observed(8, 14_499));
        assertTrue(challenge.observed(8, 14_500));
    }

    @Test
    void shouldCountFromTheHeartbeatWhenTheRowIsTheOneItSpokeOf() {
        challenge.heard(7, 9_000);

        assertFalse(challenge.observed(7, 11_249));
        assertTrue(challenge.observed(7, 11_250));
    }

    @Test
    void shouldCountFromItsOwnReadingWhenTheHolderRenewedAfterItsHeartbeat() {
        challenge.heard(7, 9_000);

        assertFalse(challenge.observed(8, 11_250));
        assertTrue(challenge.observed(8, 13_500));
    }

    @Test
    void shouldLeaveTheHolderTimeToRenewWhenTheStoreWasAway() {
        assertFalse(challenge.observed(7, 10_000));
        challenge.unanswered();

        assertFalse(challenge.observed(7, 20_000));
        assertFalse(challenge.observed(7, 20_999));
        assertTrue(challenge.observed(7, 21_000));
    }
}
