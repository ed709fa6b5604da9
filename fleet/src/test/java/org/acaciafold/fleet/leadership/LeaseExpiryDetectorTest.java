package org.acaciafold.fleet.leadership;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaseExpiryDetectorTest {
    private static final long LEASE_MS = 2_000;

    private final LeaseExpiryDetector detector = LeaseExpiryDetector.of(250, 1_000);

    @Test
    void shouldWaitForTheLeaseAndItsMarginWhenTheRowStaysTheSame() {
        assertFalse(detector.observed(7, LEASE_MS, 10_000));
        assertFalse(detector.observed(7, LEASE_MS, 12_249));
        assertTrue(detector.observed(7, LEASE_MS, 12_250));
    }

    @Test
    void shouldRestartTheWaitWhenTheHolderHasRenewed() {
        assertFalse(detector.observed(7, LEASE_MS, 10_000));
        assertFalse(detector.observed(8, LEASE_MS, 12_250));
        assertFalse(detector.observed(8, LEASE_MS, 14_499));
        assertTrue(detector.observed(8, LEASE_MS, 14_500));
    }

    @Test
    void shouldCountFromTheHeartbeatWhenTheRowHasTheAnnouncedVersion() {
        detector.leaseAnnounced(7, LEASE_MS, 9_000);

        assertFalse(detector.observed(7, LEASE_MS, 11_249));
        assertTrue(detector.observed(7, LEASE_MS, 11_250));
    }

    @Test
    void shouldCountFromItsOwnReadWhenTheHolderRenewedAfterItsHeartbeat() {
        detector.leaseAnnounced(7, LEASE_MS, 9_000);

        assertFalse(detector.observed(8, LEASE_MS, 11_250));
        assertTrue(detector.observed(8, LEASE_MS, 13_500));
    }

    @Test
    void shouldLeaveTheHolderTimeToRenewWhenTheStoreWasUnresponsive() {
        assertFalse(detector.observed(7, LEASE_MS, 10_000));
        detector.readFailed();

        assertFalse(detector.observed(7, LEASE_MS, 20_000));
        assertFalse(detector.observed(7, LEASE_MS, 20_999));
        assertTrue(detector.observed(7, LEASE_MS, 21_000));
    }

    @Test
    void shouldWaitForTheLengthInTheRowWhenTheHolderRenewedForLonger() {
        assertFalse(detector.observed(7, LEASE_MS, 10_000));
        assertFalse(detector.observed(8, 2 * LEASE_MS, 11_000));

        assertFalse(detector.observed(8, 2 * LEASE_MS, 15_249));
        assertTrue(detector.observed(8, 2 * LEASE_MS, 15_250));
    }
}
