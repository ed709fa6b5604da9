package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Broadcasts in a large deployment: forty hosts receive the states of many short jobs. */
class StateBroadcasterTest {
    private static final int HOSTS = 40;
    private static final long BATCH_MS = 200;
    private static final long EPOCH = 3;

    private final ManualTimers timers = new ManualTimers();
    private final HostTable hosts = new HostTable();
    private final List<Sent> sent = new ArrayList<>();
    private final StateBroadcaster broadcaster = new StateBroadcaster(
            "leader",
            timers,
            (to, message) -> sent.add(new Sent(List.copyOf(to), message)),
            hosts,
            EPOCH,
            () -> running("all"));

    private static Map<String, JobState> running(String job) {
        return Map.of(job, JobState.RUNNING);
    }

    @BeforeEach
    void registerHosts() {
        for (int i = 0; i < HOSTS; i++) {
            hosts.recordHeartbeat(
                    new PeerMessage.HostBeat("host-" + i, "address-" + i, 1, 0, false, 0), timers.nowMs());
        }
        broadcaster.begin();
    }

    @Test
    void shouldSendTheFirstChangeToAllHostsAtOnce() {
        broadcaster.publish(running("j1"));

        assertEquals(1, sent.size());
        assertEquals(HOSTS, sent.getFirst().to.size());
        assertEquals(new PeerMessage.States(EPOCH, 2, false, running("j1")), sent.getFirst().message);
    }

    @Test
    void shouldBatchChangesThatFollowSoon() {
        broadcaster.publish(running("j1"));
        for (int tick = 0; tick < 4; tick++) {
            timers.advance(40);
            broadcaster.publish(running("j" + (2 + tick)));
        }
        assertEquals(1, sent.size());

        timers.advance(BATCH_MS);

        assertEquals(2, sent.size());
        PeerMessage.States second = (PeerMessage.States) sent.getLast().message;
        assertEquals(3, second.sequence());
        assertEquals(4, second.states().size());
    }

    /** All hosts of a large deployment start at the same time after a power failure. */
    @Test
    void shouldSendOneFullSnapshotWhenManyHostsAreBehind() {
        broadcaster.scheduleSnapshot(hosts.addresses().values());
        for (int i = 0; i < HOSTS; i++) {
            timers.advance(1);
            broadcaster.scheduleSnapshot(List.of("address-" + i));
        }

        timers.advance(BATCH_MS);

        assertEquals(1, sent.size());
        assertEquals(HOSTS, sent.getFirst().to.size());
        assertEquals(new PeerMessage.States(EPOCH, 1, true, running("all")), sent.getFirst().message);
    }

    @Test
    void shouldSendAFinalStateToTheAcceptingHostAtOnce() {
        broadcaster.recordAcceptingHost("host-7", "j2");
        broadcaster.publish(running("j1"));
        timers.advance(1);

        broadcaster.publish(Map.of("j2", JobState.COMPLETED));

        assertEquals(List.of("address-7"), sent.getLast().to);
        PeerMessage.States sentStates = (PeerMessage.States) sent.getLast().message;
        assertEquals(JobState.COMPLETED, sentStates.states().get("j2"));
        assertFalse(sentStates.follows(PeerMessage.States.NONE_SEEN));
        assertFalse(sentStates.follows(broadcaster.sequence()));
    }

    @Test
    void shouldSendAFinalStateOnceWhenAllHostsReceiveItAtOnce() {
        broadcaster.recordAcceptingHost("host-7", "j1");

        broadcaster.publish(Map.of("j1", JobState.COMPLETED));

        assertEquals(1, sent.size());
        assertEquals(HOSTS, sent.getFirst().to.size());
    }

    @Test
    void shouldSendNothingMoreWhenTheTermHasEnded() {
        broadcaster.publish(running("j1"));
        timers.advance(1);
        broadcaster.publish(running("j2"));
        broadcaster.end();

        timers.advance(BATCH_MS);

        assertEquals(1, sent.size());
    }

    private record Sent(Collection<String> to, PeerMessage message) {}
}
