package org.acaciafold.entry;

import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaderSelectionTest {
    private static final double SMALL = 0.36;
    private static final double LARGE = 0.75;
    private static final long NOW_MS = 10_000;
    private static final long VERSION = 7;

    private final HostTable hosts = new HostTable();

    private static PeerMessage.HostBeat beat(String host, double processors, boolean stopping) {
        return new PeerMessage.HostBeat(host, host + ":1", processors, 0, stopping);
    }

    @Test
    void shouldHandOverToTheLargestHostWhenTheLeaderIsMuchSmaller() {
        hosts.recordHeartbeat(beat("small", SMALL, false), NOW_MS);
        hosts.recordHeartbeat(beat("large", LARGE, false), NOW_MS);

        LeaderSelection selection = new LeaderSelection("leader", SMALL, hosts);

        assertEquals(Optional.of("large:1"), selection.preferredLeader(NOW_MS));
        assertEquals(LARGE, selection.largest(NOW_MS));
    }

    @Test
    void shouldKeepTheTermWhenNoHostIsMuchLarger() {
        hosts.recordHeartbeat(beat("other", LARGE, false), NOW_MS);

        assertEquals(Optional.empty(), new LeaderSelection("leader", LARGE, hosts).preferredLeader(NOW_MS));
    }

    @Test
    void shouldChooseTheLargestLiveHostAsSuccessorWhenOthersStopOrAreUnresponsive() {
        hosts.recordHeartbeat(beat("stopping", LARGE, true), NOW_MS);
        hosts.recordHeartbeat(beat("small", SMALL, false), NOW_MS);
        hosts.addReported("silent", "silent:1", NOW_MS);

        assertEquals(Optional.of("small:1"), new LeaderSelection("leader", LARGE, hosts).successor(NOW_MS));
    }

    @Test
    void shouldDeferToLargerHostsForALimitedTimeWhenTheLeaseHasExpired() {
        LeaderSelection selection = new LeaderSelection("small", SMALL, hosts);
        selection.recordLargest(LARGE);

        assertTrue(selection.shouldDefer(VERSION, NOW_MS));
        assertTrue(selection.shouldDefer(VERSION, NOW_MS + 199));
        assertFalse(selection.shouldDefer(VERSION, NOW_MS + 200));
    }

    @Test
    void shouldNotDeferWhenItIsAmongTheLargest() {
        LeaderSelection selection = new LeaderSelection("large", LARGE, hosts);
        selection.recordLargest(LARGE);

        assertFalse(selection.shouldDefer(VERSION, NOW_MS));
    }

    /** The store rejects the leader's requests in a deployment whose hosts differ in size. */
    @Test
    void shouldAskTheLargestHostsFirstWhenTheLeaderCannotReachTheStore() {
        hosts.recordHeartbeat(beat("small-1", SMALL, false), NOW_MS);
        hosts.recordHeartbeat(beat("large-1", LARGE, false), NOW_MS);
        hosts.recordHeartbeat(beat("large-2", LARGE, false), NOW_MS);
        hosts.recordHeartbeat(beat("stopping", LARGE, true), NOW_MS);
        LeaderSelection selection = new LeaderSelection("leader", LARGE, hosts);

        assertEquals(Set.of("large-1:1", "large-2:1"), Set.copyOf(selection.handoverCandidates(0, NOW_MS)));
        assertEquals(4, selection.handoverCandidates(200, NOW_MS).size());
    }

    @Test
    void shouldAskAllHostsWhenNoneHasSentAHeartbeat() {
        hosts.addReported("silent", "silent:1", NOW_MS);

        assertEquals(
                Set.of("silent:1"),
                Set.copyOf(new LeaderSelection("leader", LARGE, hosts).handoverCandidates(0, NOW_MS)));
    }
}
