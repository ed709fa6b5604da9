package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The entry hosts that a leader has heard of. */
final class HostTable {
    /** A host that has been silent for several heartbeats is given no work. */
    private static final long SILENT_MS = 1_600;

    /** A host that has been silent for this long is not written to any more. */
    private static final long FORGET_MS = 30_000;

    private final Map<String, Host> hosts = new TreeMap<>();

    void heard(PeerMessage.HostBeat beat, long nowMs) {
        hosts.put(beat.host(), new Host(beat.address(), nowMs, beat.stopping()));
    }

    /** Adds a host that another one has told of. */
    void told(String host, String address, long nowMs) {
        hosts.putIfAbsent(host, new Host(address, nowMs - SILENT_MS, false));
    }

    void forgetSilent(long nowMs) {
        hosts.values().removeIf(host -> nowMs - host.heardAtMs > FORGET_MS);
    }

    Optional<String> address(String host) {
        return Optional.ofNullable(hosts.get(host)).map(Host::address);
    }

    Map<String, String> addresses() {
        Map<String, String> addresses = new HashMap<>();
        hosts.forEach((name, host) -> addresses.put(name, host.address));
        return addresses;
    }

    List<String> live(long nowMs) {
        List<String> live = new ArrayList<>();
        hosts.forEach((name, host) -> {
            if (!host.stopping && nowMs - host.heardAtMs < SILENT_MS) {
                live.add(name);
            }
        });
        return live;
    }

    private record Host(String address, long heardAtMs, boolean stopping) {}
}
