package org.acaciafold.daemon;

import java.util.function.Supplier;

import org.acaciafold.core.model.Clock;
import org.acaciafold.settings.HostSettings;
import org.acaciafold.wire.PeerTransport;

/**
 * The parts of an entry host that its live request services use.
 *
 * @param settings the settings file of the host
 * @param core calls the state machine
 * @param peers the connections to peer entry hosts
 * @param snapshot returns the snapshot of the state machine after its last tick
 * @param metrics the metrics in which live requests are recorded
 * @param tracing the tracing in which spans are recorded
 * @param clock the clock of the process
 */
public record RequestContext(
        HostSettings settings,
        CoreCalls core,
        PeerTransport peers,
        Supplier<HostSnapshot> snapshot,
        HostMetrics metrics,
        Tracing tracing,
        Clock clock) {}
