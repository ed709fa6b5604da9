package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.request.ServiceKey;

/** Resolves the services that a caller may use and selects peers that have replicas of them. */
final class SlotRouting {
    private final HostState state;
    private final SplittableRandom random;

    private SlotRouting(HostState state, SplittableRandom random) {
        this.state = state;
        this.random = random;
    }

    static SlotRouting of(HostState state) {
        return new SlotRouting(state, new SplittableRandom(state.config().seed()));
    }

    /** Returns the less loaded of two peers chosen at random among those with replicas. */
    Optional<Place> elsewhere(ServiceKey service) {
        List<Place> places = places(service);
        if (places.isEmpty()) {
            return Optional.empty();
        }
        Place first = places.get(random.nextInt(places.size()));
        Place second = places.get(random.nextInt(places.size()));
        return Optional.of(first.room() >= second.room() ? first : second);
    }

    /** Returns whether another workspace has a service of this name, according to the heartbeats of the peers. */
    boolean ofOtherWorkspace(String service, WorkspaceId caller) {
        return state.peers().values().stream()
                .flatMap(peer -> peer.slices().stream())
                .flatMap(slice -> slice.services().stream())
                .anyMatch(summary -> summary.service().equals(service)
                        && !summary.workspace().equals(caller));
    }

    /** Returns the service that a name denotes for a caller: an open one of that name, otherwise the caller's own. */
    ServiceKey resolve(WorkspaceId caller, String service) {
        WorkspaceId workspace = state.settings().openServices().getOrDefault(service, caller);
        return new ServiceKey(workspace, service);
    }

    private List<Place> places(ServiceKey service) {
        long heardAfterMs = state.clock().nowMs() - state.config().controlLeaseMs();
        List<Place> places = new ArrayList<>();
        for (Map.Entry<HostId, PeerEntry> peer : state.peers().entrySet()) {
            if (peer.getValue().heardMs() < heardAfterMs || !state.entryHosts().containsKey(peer.getKey())) {
                continue;
            }
            room(peer.getValue(), service).ifPresent(room -> places.add(new Place(peer.getKey(), room)));
        }
        return places;
    }

    private static Optional<Integer> room(PeerEntry peer, ServiceKey service) {
        int room = 0;
        boolean found = false;
        for (SliceSummary slice : peer.slices()) {
            for (ServiceSummary summary : slice.services()) {
                boolean same = summary.service().equals(service.name())
                        && summary.workspace().equals(service.workspace());
                if (same && summary.replicas() > 0) {
                    found = true;
                    room += summary.freeSlots() - summary.waiting();
                }
            }
        }
        return found ? Optional.of(room) : Optional.empty();
    }

    /**
     * A peer with replicas of a service.
     *
     * @param owner the peer
     * @param spareSlots the number of its free slots minus the number of waiting requests
     */
    record Place(HostId owner, int room) {}
}
