package org.acaciafold.entry;

import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
        return new PeerMessage.HostBeat(host, host + ":1", processors, 0, stopping, 0);
    }

    private static PeerMessage.HostBeat beat(String host, double processors, long upMs) {
        return new PeerMessage.HostBeat(host, host + ":1", processors, 0, false, upMs);
    }

    /**
     * Covers a rolling restart of all hosts: of those that have restarted, the one that has run longest leads next, and
     * the leader does not move along with the restart.
     */
    @ParameterizedTest
    @CsvSource({
        "20000, 4000, 2000, restarted-1:1",
        "20000, 2000, 4000, restarted-2:1",
        "20000, 1000, 2000, restarted-2:1",
        "20000, 1000, 500, not-restarted:1",
        "33000, 4000, 2000, restarted-1:1",
        "1000, 4000, 3000, not-restarted:1"
    })
    void shouldHandOverToAHostThatHasAlreadyRestarted(
            long leaderUpMs, long firstUpMs, long secondUpMs, String successor) {
        hosts.recordHeartbeat(beat("not-restarted", LARGE, 30_000), NOW_MS);
        hosts.recordHeartbeat(beat("restarted-1", LARGE, firstUpMs), NOW_MS);
        hosts.recordHeartbeat(beat("restarted-2", LARGE, secondUpMs), NOW_MS);
        hosts.recordHeartbeat(beat("small", SMALL, 5_000), NOW_MS);

        LeaderSelection selection = new LeaderSelection("leader", LARGE, NOW_MS - leaderUpMs, hosts);

        assertEquals(Optional.of(successor), selection.successor(NOW_MS));
    }

    @Test
    void shouldHandOverToTheLargestHostWhenTheLeaderIsMuchSmaller() {
        hosts.recordHeartbeat(beat("small", SMALL, false), NOW_MS);
        hosts.recordHeartbeat(beat("large", LARGE, false), NOW_MS);

        LeaderSelection selection = new LeaderSelection("leader", SMALL, 0, hosts);

        assertEquals(Optional.of("large:1"), selection.preferredLeader(NOW_MS));
        assertEquals(LARGE, selection.largest(NOW_MS));
    }

    @Test
    void shouldKeepTheTermWhenNoHostIsMuchLarger() {
        hosts.recordHeartbeat(beat("other", LARGE, false), NOW_MS);

        assertEquals(Optional.empty(), new LeaderSelection("leader", LARGE, 0, hosts).preferredLeader(NOW_MS));
    }

    @Test
    void shouldChooseTheLargestLiveHostAsSuccessorWhenOthersStopOrAreUnresponsive() {
        hosts.recordHeartbeat(beat("stopping", LARGE, true), NOW_MS);
        hosts.recordHeartbeat(beat("small", SMALL, false), NOW_MS);
        hosts.addReported("silent", "silent:1", NOW_MS);

        assertEquals(Optional.of("small:1"), new LeaderSelection("leader", LARGE, 0, hosts).successor(NOW_MS));
    }

    @Test
    void shouldDeferToLargerHostsForALimitedTimeWhenTheLeaseHasExpired() {
        LeaderSelection selection = new LeaderSelection("small", SMALL, 0, hosts);
        selection.recordLargest(LARGE);

        assertTrue(selection.shouldDefer(VERSION, NOW_MS));
        assertTrue(selection.shouldDefer(VERSION, NOW_MS + 199));
        assertFalse(selection.shouldDefer(VERSION, NOW_MS + 200));
    }

    @ParameterizedTest
    @CsvSource({"0, false", "0.36, true", "0.5, true", "0.75, false"})
    void shouldBeAmongTheLargestWhenALeaderReportsNoMuchLargerHost(double largest, boolean expected) {
        LeaderSelection selection = new LeaderSelection("small", SMALL, 0, hosts);
        selection.recordLargest(largest);

        assertEquals(expected, selection.isAmongLargest());
    }

    @Test
    void shouldNotDeferWhenItIsAmongTheLargest() {
        LeaderSelection selection = new LeaderSelection("large", LARGE, 0, hosts);
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
        LeaderSelection selection = new LeaderSelection("leader", LARGE, 0, hosts);

        assertEquals(Set.of("large-1:1", "large-2:1"), Set.copyOf(selection.handoverCandidates(0, NOW_MS)));
        assertEquals(4, selection.handoverCandidates(200, NOW_MS).size());
    }

    @Test
    void shouldAskAllHostsWhenNoneHasSentAHeartbeat() {
        hosts.addReported("silent", "silent:1", NOW_MS);

        assertEquals(
                Set.of("silent:1"),
                Set.copyOf(new LeaderSelection("leader", LARGE, 0, hosts).handoverCandidates(0, NOW_MS)));
    }
}
