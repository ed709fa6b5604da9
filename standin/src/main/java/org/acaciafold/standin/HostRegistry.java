package org.acaciafold.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.acaciafold.core.model.Clock;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;

/** The host list of the platform; each change becomes visible after a configured lag. */
final class HostRegistry {
    private final Clock clock;
    private final long lagMs;
    private final Map<String, HostEntry> visible = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();

    private HostRegistry(Clock clock, long lagMs) {
        this.clock = clock;
        this.lagMs = lagMs;
    }

    static HostRegistry of(Clock clock, long lagMs) {
        return new HostRegistry(clock, lagMs);
    }

    synchronized void markLeaving(String id) {
        change(hosts -> hosts.computeIfPresent(id, (key, host) -> asLeaving(host)));
    }

    synchronized HostList list() {
        long nowMs = clock.nowMs();
        while (!changes.isEmpty() && changes.peek().visibleAtMs() <= nowMs) {
            changes.poll().apply().accept(visible);
        }
        return new HostList(new ArrayList<>(visible.values()));
    }

    synchronized void put(HostEntry host) {
        change(hosts -> hosts.put(host.id(), host));
    }

    /** Adds a host before the platform serves; the host is visible immediately. */
    synchronized void putAtStart(HostEntry host) {
        visible.put(host.id(), host);
    }

    synchronized void remove(String id) {
        change(hosts -> hosts.remove(id));
    }

    private void change(Consumer<Map<String, HostEntry>> apply) {
        changes.add(new Change(clock.nowMs() + lagMs, apply));
    }

    private static HostEntry asLeaving(HostEntry host) {
        return new HostEntry(
                host.id(), host.role(), host.domain(), host.rack(), host.address(), host.callerAddress(), true);
    }

    private record Change(long visibleAtMs, Consumer<Map<String, HostEntry>> apply) {}
}
