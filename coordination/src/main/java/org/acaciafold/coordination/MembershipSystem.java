package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;

/** Maintains the host list and the table of peers, and sends heartbeats with the owned slices to the peers. */
final class MembershipSystem implements HostSystem {
    private final HostState state;
    private long nextHeartbeatMs;
    private int nextRemote;

    private MembershipSystem(HostState state) {
        this.state = state;
    }

    static MembershipSystem of(HostState state) {
        return new MembershipSystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        switch (event) {
            case Event.HostsListed listed -> replaceHosts(listed.hosts());
            case Event.PeerReceived received -> recordHeartbeat(received);
            case Event.StopRequested ignored -> state.stopping(true);
            default -> {
                // handled by other systems
            }
        }
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (nowMs < nextHeartbeatMs) {
            return;
        }
        nextHeartbeatMs = nowMs + state.config().heartbeatMs();
        PeerMessage heartbeat = new PeerMessage.Heartbeat(
                state.config().incarnation(), state.settings().version(), StatusSystem.ownedSlices(state));
        List<HostEntry> remote = new ArrayList<>();
        for (HostEntry entry : state.entryHosts().values()) {
            if (state.isRemote(entry)) {
                remote.add(entry);
            } else if (!entry.id().equals(state.config().host().value())) {
                send(entry, heartbeat, outbox);
            }
        }
        if (!state.owned().isEmpty() && !remote.isEmpty()) {
            sendToRemoteHosts(remote, heartbeat, outbox);
        }
    }

    /** Sends each heartbeat to a few hosts of other failure domains in rotation, so that its cost does not grow. */
    private void sendToRemoteHosts(List<HostEntry> remote, PeerMessage heartbeat, Outbox outbox) {
        int count = Math.min(HostState.REMOTE_HOSTS_PER_HEARTBEAT, remote.size());
        for (int i = 0; i < count; i++) {
            nextRemote = (nextRemote + 1) % remote.size();
            send(remote.get(nextRemote), heartbeat, outbox);
        }
    }

    private static void send(HostEntry entry, PeerMessage heartbeat, Outbox outbox) {
        outbox.send(HostId.of(entry.id()), entry.address(), heartbeat);
    }

    private void recordHeartbeat(Event.PeerReceived received) {
        if (received.message() instanceof PeerMessage.Heartbeat heartbeat) {
            PeerEntry entry = new PeerEntry(
                    heartbeat.incarnation(), state.clock().nowMs(), heartbeat.settingsVersion(), heartbeat.slices());
            state.peers().put(received.from(), entry);
        }
    }

    private void replaceHosts(HostList hosts) {
        state.entryHosts().clear();
        state.workers().clear();
        for (HostEntry entry : hosts.hosts()) {
            switch (entry.role()) {
                case ENTRY -> state.entryHosts().put(HostId.of(entry.id()), entry);
                case WORKER -> state.workers().put(WorkerId.of(entry.id()), entry);
                default -> throw new IllegalStateException("unknown role " + entry.role());
            }
        }
    }
}
