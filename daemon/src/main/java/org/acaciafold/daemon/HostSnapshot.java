package org.acaciafold.daemon;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.settings.FleetSettings;

/**
 * What other threads may know of the state machine, published after each tick.
 *
 * @param settings the settings in force
 * @param hosts the host list as last read, empty before its first answer
 * @param ownedSlices the number of slices that this host owns
 * @param lateAnswers answers that came after their timeout, since the start
 * @param settingsKnown whether the settings were read since the start
 * @param failed whether the state machine has ended with an error
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
     * Returns the snapshot of a host that knows nothing yet.
     *
     * @return an empty snapshot
     */
    public static HostSnapshot empty() {
        return EMPTY;
    }

    /**
     * Looks up where a peer takes messages.
     *
     * @param peer the entry host
     * @return an IP number and a port, empty when the host list does not have it
     */
    public Optional<String> peerAddress(HostId peer) {
        return hosts.stream()
                .filter(entry -> entry.role() == HostRole.ENTRY && entry.id().equals(peer.value()))
                .map(HostEntry::address)
                .findFirst();
    }

    /**
     * Tells whether callers can be served.
     *
     * @return true when the host list and the settings are known and the state machine runs
     */
    public boolean ready() {
        return settingsKnown && !hosts.isEmpty() && !failed;
    }
}
