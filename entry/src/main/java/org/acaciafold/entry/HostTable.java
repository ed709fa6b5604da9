package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Stores the address and the last heartbeat of each entry host. */
final class HostTable {
    /** A host without a heartbeat for this long, several heartbeat periods, receives no work. */
    private static final long HEARTBEAT_TIMEOUT_MS = 1_600;

    /** A host without a heartbeat for this long is removed, and receives no more messages. */
    private static final long EVICT_AFTER_MS = 30_000;

    /** How often the leader sends all addresses; they rarely change. */
    private static final long ANNOUNCE_PERIOD_MS = 1_000;

    private final Map<String, Host> hosts = new TreeMap<>();
    private long announcedAtMs = Long.MIN_VALUE / 2;
    /** Cached addresses of all hosts; empty after a change, until they are computed again. */
    private Map<String, String> addresses = Map.of();

    void recordHeartbeat(PeerMessage.HostBeat beat, long nowMs) {
        Host before = hosts.put(
                beat.host(), new Host(beat.address(), beat.processors(), nowMs, beat.stopping(), nowMs - beat.upMs()));
        if (before == null || !before.address.equals(beat.address())) {
            addresses = Map.of();
        }
    }

    /** Adds a host that another host has reported; it is not live until it sends a heartbeat itself. */
    void addReported(String host, String address, long nowMs) {
        if (hosts.putIfAbsent(host, new Host(address, 0, nowMs - HEARTBEAT_TIMEOUT_MS, false, nowMs)) == null) {
            addresses = Map.of();
        }
    }

    /** Adds the hosts that the leader has reported, except this one. */
    void addReported(Map<String, String> addressesByHost, String self, long nowMs) {
        addressesByHost.forEach((host, address) -> {
            if (!host.equals(self)) {
                addReported(host, address, nowMs);
            }
        });
    }

    void evictUnresponsive(long nowMs) {
        if (hosts.values().removeIf(host -> nowMs - host.heartbeatAtMs > EVICT_AFTER_MS)) {
            addresses = Map.of();
        }
    }

    /** Returns the addresses of all hosts if the announcement period has passed, otherwise none. */
    Map<String, String> addressesToAnnounce(long nowMs) {
        if (nowMs - announcedAtMs < ANNOUNCE_PERIOD_MS) {
            return Map.of();
        }
        announcedAtMs = nowMs;
        return addresses();
    }

    Optional<String> address(String host) {
        return Optional.ofNullable(hosts.get(host)).map(Host::address);
    }

    Map<String, String> addresses() {
        if (addresses.isEmpty()) {
            Map<String, String> all = new HashMap<>();
            hosts.forEach((name, host) -> all.put(name, host.address));
            addresses = Map.copyOf(all);
        }
        return addresses;
    }

    List<String> live(long nowMs) {
        List<String> live = new ArrayList<>();
        hosts.forEach((name, host) -> {
            if (!host.stopping && nowMs - host.heartbeatAtMs < HEARTBEAT_TIMEOUT_MS) {
                live.add(name);
            }
        });
        return live;
    }

    /** Returns the number of processors of a host, 0 if it has not reported them. */
    double processors(String host) {
        return hosts.containsKey(host) ? hosts.get(host).processors : 0;
    }

    /** Returns when a live host started, on the monotonic clock of this host. */
    long startedAtMs(String host) {
        return hosts.get(host).startedAtMs;
    }

    private record Host(String address, double processors, long heartbeatAtMs, boolean stopping, long startedAtMs) {}
}
