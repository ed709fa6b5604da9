package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.ManualClock;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;
import org.acaciafold.core.port.WorkerView;
import org.acaciafold.settings.FleetSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlotSystemTest {
    private static final WorkspaceId NORTH = WorkspaceId.of("north");
    private static final Fence FENCE = Fence.of(4, 1);
    private static final HostId SELF = HostId.of("h1");
    private static final long LEASE_MS = 3_000;
    private static final long WAIT_MS = 1_000;

    private final ManualClock clock = ManualClock.of(100_000);
    private final HostConfig config =
            HostConfig.builder(SELF, DomainId.of("d"), 1).build();
    private final HostState state = HostState.of(config, clock);
    private final Outbox outbox = Outbox.of(1_000);
    private final SlotSystem system = SlotSystem.of(state);
    private final OwnedSlice slice = OwnedSlice.of(SliceId.of("d.0"), FENCE, null);
    private final WorkerLink link = WorkerLink.of(WorkerId.of("w"), "c:1", "r:1");
    private long lastCall;

    // -- acquire

    @Test
    void shouldGrantSlotWithFenceAndLeaseWhenReplicaRuns() {
        ownReplica(0);
        ClientReply.SlotGranted granted = assertInstanceOf(
                ClientReply.SlotGranted.class, acquire(NORTH, false).getFirst());
        assertEquals(new ClientReply.SlotGranted(granted.slot(), WorkerId.of("w"), "r:1", FENCE, 7, NORTH), granted);
    }

    @Test
    void shouldGrantNoMoreThanSlotsWhenNoneIsReleased() {
        ownReplica(3);
        long granted = 0;
        for (int request = 0; request < 10; request++) {
            granted += acquire(NORTH, false).size();
        }
        assertEquals(5, granted);
    }

    @Test
    void shouldNotGrantWhenControlLeaseHasExpired() {
        ownReplica(0);
        clock.advance(LEASE_MS);
        assertTrue(acquire(NORTH, false).isEmpty());
        clock.advance(WAIT_MS);
        assertFailed("deadline", tick());
    }

    @ParameterizedTest
    @CsvSource({"false, SlotElsewhere", "true, Failed"})
    void shouldNamePeerOnlyWhenNotRelayed(boolean relayed, String reply) {
        receiveSummary("h2", 5);
        assertEquals(reply, acquire(NORTH, relayed).getFirst().getClass().getSimpleName());
    }

    @Test
    void shouldChooseLessLoadedPeerWhenTwoHaveReplicas() {
        receiveSummary("h2", 1);
        receiveSummary("h3", 8);
        long toIdle = 0;
        for (int request = 0; request < 100; request++) {
            ClientReply reply = acquire(NORTH, false).getFirst();
            toIdle += reply.equals(new ClientReply.SlotElsewhere(HostId.of("h3"))) ? 1 : 0;
        }
        assertTrue(toIdle > 60, "requests to the idle peer: " + toIdle);
    }

    @Test
    void shouldIgnorePeerWhenItsStatusIsOlderThanTheControlLease() {
        receiveSummary("h2", 5);
        clock.advance(config.controlLeaseMs() + 1);
        assertFailed("no-replica", acquire(NORTH, false));
    }

    @ParameterizedTest
    @CsvSource({"south, true", "north, false"})
    void shouldNotNamePeerWhenServiceIsOfAnotherWorkspace(String caller, boolean hinted) {
        if (hinted) {
            receiveSummary("h2", 5);
        }
        List<ClientReply> replies = acquire(WorkspaceId.of(caller), false);
        assertFailed("no-replica", replies);
        String message = ((ClientReply.Failed) replies.getFirst()).failure().message();
        assertEquals(hinted, message.contains("another workspace"));
    }

    @Test
    void shouldServeAnyCallerWhenServiceIsOpen() {
        state.settings(new FleetSettings(1, Map.of(), Map.of(), Map.of("shop", NORTH)));
        ownReplica(0);
        assertInstanceOf(
                ClientReply.SlotGranted.class, acquire(ClientCall.ANYONE, false).getFirst());
    }

    @Test
    void shouldWaitForReplicaWhenItWasKnownRecently() {
        ownReplica(0);
        tick();
        state.owned().clear();
        tick();
        assertTrue(acquire(NORTH, false).isEmpty());
        state.owned().put(slice.id(), slice);
        assertInstanceOf(ClientReply.SlotGranted.class, tick().getFirst());
    }

    // -- summaries

    @Test
    void shouldReportFreeSlotsToPeersWhenReplicaRuns() {
        ownReplica(3);
        tick();
        assertEquals(List.of(new ServiceSummary("shop", NORTH, 1, 5, 0)), slice.services());
    }

    private List<ClientReply> acquire(WorkspaceId workspace, boolean relayed) {
        ClientCall call = new ClientCall.AcquireSlot(workspace, "shop", WAIT_MS, relayed);
        system.apply(new Event.ClientCalled(++lastCall, call), outbox);
        return tick();
    }

    private void receiveSummary(String peer, int freeSlots) {
        HostEntry entry = new HostEntry(peer, HostRole.ENTRY, DomainId.of("e"), "r", "p:1", "c:1", false);
        state.entryHosts().put(HostId.of(peer), entry);
        SliceSummary summary = new SliceSummary(
                SliceId.of("e.0"),
                FENCE,
                Resources.empty(),
                Resources.empty(),
                Resources.empty(),
                0,
                Resources.empty(),
                List.of(new ServiceSummary("shop", NORTH, 1, freeSlots, 0)));
        state.peers().put(HostId.of(peer), new PeerEntry(1, clock.nowMs(), 1, List.of(summary)));
    }

    private void ownReplica(int slotsInUse) {
        JobSpec shop = JobSpec.builder(JobId.of("j"), NORTH, "shop", new JobKind.Service(1))
                .build();
        TaskView task = new TaskView(shop.task(0), 1, shop, LEASE_MS, TaskPhase.RUNNING);
        WorkerView view = new WorkerView(Resources.of(8_000, 8_000, 0), "r", 8, 64, slotsInUse, false, List.of(task));
        link.claimed(7, clock.nowMs() + LEASE_MS, clock.nowMs() + LEASE_MS);
        link.view(view, 1);
        slice.links().put(link.worker(), link);
        state.owned().put(slice.id(), slice);
    }

    private List<ClientReply> tick() {
        system.tick(clock.nowMs(), outbox);
        List<ClientReply> replies = new ArrayList<>();
        for (Effect effect : outbox.drain()) {
            replies.add(((Effect.AnswerClient) effect).reply());
        }
        return replies;
    }

    private static void assertFailed(String code, List<ClientReply> replies) {
        ClientReply.Failed failed = assertInstanceOf(ClientReply.Failed.class, replies.getFirst());
        assertEquals(code, failed.failure().code());
    }
}
