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
    Optional<Peer> choosePeer(ServiceKey service) {
        List<Peer> candidates = peersWithReplicas(service);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Peer first = candidates.get(random.nextInt(candidates.size()));
        Peer second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(first.spareSlots() >= second.spareSlots() ? first : second);
    }

    /** Returns whether another workspace has a service of this name, according to the heartbeats of the peers. */
    boolean existsInOtherWorkspace(String service, WorkspaceId caller) {
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

    private List<Peer> peersWithReplicas(ServiceKey service) {
        long heardAfterMs = state.clock().nowMs() - state.config().controlLeaseMs();
        List<Peer> candidates = new ArrayList<>();
        for (Map.Entry<HostId, PeerEntry> peer : state.peers().entrySet()) {
            if (peer.getValue().lastHeartbeatMs() < heardAfterMs
                    || !state.entryHosts().containsKey(peer.getKey())) {
                continue;
            }
            spareSlots(peer.getValue(), service)
                    .ifPresent(spareSlots -> candidates.add(new Peer(peer.getKey(), spareSlots)));
        }
        return candidates;
    }

    private static Optional<Integer> spareSlots(PeerEntry peer, ServiceKey service) {
        int spareSlots = 0;
        boolean found = false;
        for (SliceSummary slice : peer.slices()) {
            for (ServiceSummary summary : slice.services()) {
                boolean same = summary.service().equals(service.name())
                        && summary.workspace().equals(service.workspace());
                if (same && summary.replicas() > 0) {
                    found = true;
                    spareSlots += summary.freeSlots() - summary.waiting();
                }
            }
        }
        return found ? Optional.of(spareSlots) : Optional.empty();
    }

    /**
     * A peer with replicas of a service.
     *
     * @param owner the peer
     * @param spareSlots the number of its free slots minus the number of waiting requests
     */
    record Peer(HostId owner, int spareSlots) {}
}
