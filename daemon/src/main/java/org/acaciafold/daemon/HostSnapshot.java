package org.acaciafold.daemon;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.settings.FleetSettings;

/**
 * The state of the state machine that other threads may read, published after each tick.
 *
 * @param settings the settings in force
 * @param hosts the host list as last read, empty until it has been read once
 * @param ownedSlices the number of slices that this host owns
 * @param lateAnswers the number of answers since the start that arrived after their timeout
 * @param settingsKnown whether the settings have been read since the start
 * @param failed whether the state machine has stopped with an error
 */
public record HostSnapshot(
        FleetSettings settings,
        List<HostEntry> hosts,
        int ownedSlices,
        long lateAnswers,
        boolean settingsKnown,
        boolean failed) {
    private static final HostSnapshot EMPTY = new HostSnapshot(FleetSettings.empty(), List.of(), 0, 0, false, false);

    /**
     * Returns the snapshot of a host that has read neither the settings nor the host list.
     *
     * @return an empty snapshot
     */
    public static HostSnapshot empty() {
        return EMPTY;
    }

    /**
     * Returns the address at which a peer accepts connections from other entry hosts.
     *
     * @param peer the entry host
     * @return an IP address and a port, empty when the host list does not contain the peer
     */
    public Optional<String> peerAddress(HostId peer) {
        return hosts.stream()
                .filter(entry -> entry.role() == HostRole.ENTRY && entry.id().equals(peer.value()))
                .map(HostEntry::address)
                .findFirst();
    }

    /**
     * Returns whether the host can serve callers.
     *
     * @return true when the host list and the settings are known and the state machine runs
     */
    public boolean ready() {
        return settingsKnown && !hosts.isEmpty() && !failed;
    }
}
