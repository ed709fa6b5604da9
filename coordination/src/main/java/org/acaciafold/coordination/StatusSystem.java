package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.HostId;

/** Answers status queries of operators with the state of this entry host. */
final class StatusSystem implements HostSystem {
    private final HostState state;

    private StatusSystem(HostState state) {
        this.state = state;
    }

    static StatusSystem of(HostState state) {
        return new StatusSystem(state);
    }

    /** Returns the summaries of the slices whose row names this host or over which it has authority. */
    static List<SliceSummary> ownedSlices(HostState state) {
        long nowMs = state.clock().nowMs();
        return state.owned().values().stream()
                .filter(slice -> slice.holdsRow() || slice.hasAuthority(nowMs))
                .map(OwnedSlice::summary)
                .toList();
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (event instanceof Event.ClientCalled called && called.body() instanceof ClientCall.QueryStatus) {
            outbox.answer(called.call(), new ClientReply.StatusFound(status()));
        }
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        // queries are answered as their events arrive
    }

    private HostStatus status() {
        long nowMs = state.clock().nowMs();
        List<HostId> heard = state.peers().keySet().stream()
                .filter(peer -> state.isReachable(peer, nowMs))
                .toList();
        List<SliceSummary> known = heard.stream()
                .flatMap(peer -> state.peers().get(peer).slices().stream())
                .toList();
        return new HostStatus(
                state.config().host(),
                state.config().domain(),
                state.registered() && state.settingsKnown() && !state.stopping(),
                state.tableAnswers(),
                state.settings().version(),
                ownedSlices(state),
                known,
                heard);
    }
}
