package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.placement.PlacementSummary;

/** Tells operators what this host knows, and summarizes its slices for them and for peers. */
final class StatusSystem implements HostSystem {
    private final HostState state;

    private StatusSystem(HostState state) {
        this.state = state;
    }

    static StatusSystem of(HostState state) {
        return new StatusSystem(state);
    }

    /** Returns the slices that this host may speak for. */
    static List<SliceSummary> ownedSlices(HostState state) {
        List<SliceSummary> summaries = new ArrayList<>();
        for (OwnedSlice slice : state.owned().values()) {
            if (slice.holdsRow() || slice.hasAuthority(state.clock().nowMs())) {
                summaries.add(summary(slice));
            }
        }
        return summaries;
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (event instanceof Event.ClientCalled called && called.body() instanceof ClientCall.QueryStatus) {
            outbox.answer(called.call(), new ClientReply.StatusFound(status()));
        }
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        // only answers calls
    }

    private List<HostId> heardPeers(long nowMs) {
        return state.peers().keySet().stream()
                .filter(peer -> state.heardLately(peer, nowMs))
                .toList();
    }

    private List<SliceSummary> peerSlices(long nowMs) {
        List<SliceSummary> slices = new ArrayList<>();
        for (Map.Entry<HostId, PeerEntry> peer : state.peers().entrySet()) {
            if (state.heardLately(peer.getKey(), nowMs)) {
                slices.addAll(peer.getValue().slices());
            }
        }
        return slices;
    }

    private HostStatus status() {
        long nowMs = state.clock().nowMs();
        boolean ready = state.settingsKnown() && !state.entryHosts().isEmpty() && !state.stopping();
        return new HostStatus(
                state.config().host(),
                state.config().domain(),
                ready,
                state.tableAnswers(),
                state.settings().version(),
                ownedSlices(state),
                peerSlices(nowMs),
                heardPeers(nowMs));
    }

    private static SliceSummary summary(OwnedSlice slice) {
        PlacementSummary summary = slice.placement().summary();
        return new SliceSummary(
                slice.id(),
                slice.fence(),
                summary.capacity(),
                summary.reserved(),
                slice.largestWorker(),
                summary.waiting(),
                slice.services());
    }
}
