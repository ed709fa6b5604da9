package org.acaciafold.daemon;

import java.util.function.Supplier;

import org.acaciafold.core.model.Clock;
import org.acaciafold.settings.HostSettings;
import org.acaciafold.wire.PeerTransport;

/**
 * What the live request services of an entry host is built on.
 *
 * @param settings the settings file of the host
 * @param core calls to the state machine
 * @param peers connections to the peer entry hosts
 * @param snapshot what is known of the state machine after its last tick
 * @param metrics where live requests are counted
 * @param tracing where spans go
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
