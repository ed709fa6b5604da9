package org.acaciafold.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which host should lead next: the largest one that is alive.
 *
 * <p>A leader that hears of a much larger host hands over to it, and a host much smaller than the largest one lets others
 * take a lease that has run out first.
 */
final class LeaderSelection {
    /** A host with this many times the processors is worth the short pause of a handover. */
    private static final double HANDOVER_SIZE_RATIO = 1.5;

    /** How long a small host waits for larger ones to take a lease that has run out: two of their looks at it. */
    private static final long DEFER_MS = 200;

    /** The largest hosts have this long to answer a leader without the store: two of its looks at the store. */
    private static final long LARGEST_ONLY_MS = 200;

    private final String self;
    private final double processors;
    private final HostTable hosts;
    private double largestReported;
    private long deferredVersion = -1;
    private long deferUntilMs;

    LeaderSelection(String self, double processors, HostTable hosts) {
        this.self = self;
        this.processors = processors;
        this.hosts = hosts;
    }

    /** Notes the processors of the largest host that the leader hears. */
    void recordLargest(double largest) {
        largestReported = largest;
    }

    /** Returns the processors of the largest host that is alive. */
    double largest(long nowMs) {
        return Math.max(processors, largestOther(nowMs).map(hosts::processors).orElse(0.0));
    }

    /** Returns where a host listens that should lead instead of this one. */
    Optional<String> preferredLeader(long nowMs) {
        return largestOther(nowMs)
                .filter(name -> hosts.processors(name) >= HANDOVER_SIZE_RATIO * processors)
                .flatMap(hosts::address);
    }

    /**
     * Returns whom a leader that cannot reach the store asks to take over: the largest hosts first, then all.
     *
     * @param overdueMs for how long it has looked for one, in milliseconds
     * @param nowMs the time in milliseconds
     * @return where they listen
     */
    Collection<String> handoverCandidates(long overdueMs, long nowMs) {
        double minProcessors = largestOther(nowMs).map(hosts::processors).orElse(0.0) / HANDOVER_SIZE_RATIO;
        List<String> large = hosts.live(nowMs).stream()
                .filter(name -> !name.equals(self) && hosts.processors(name) > minProcessors)
                .flatMap(name -> hosts.address(name).stream())
                .toList();
        return overdueMs >= LARGEST_ONLY_MS || large.isEmpty()
                ? hosts.addresses().values()
                : large;
    }

    /** Returns where the host listens that should lead once this one stops. */
    Optional<String> successor(long nowMs) {
        return largestOther(nowMs).flatMap(hosts::address);
    }

    /**
     * Tells whether a lease that has run out is left to larger hosts for now.
     *
     * @param version the version of the lease's row
     * @param nowMs the time in milliseconds
     * @return true for a while after the first look at it, when larger hosts are known
     */
    boolean shouldDefer(long version, long nowMs) {
        if (largestReported < HANDOVER_SIZE_RATIO * processors) {
            return false;
        }
        if (version != deferredVersion) {
            deferredVersion = version;
            deferUntilMs = nowMs + DEFER_MS;
        }
        return nowMs < deferUntilMs;
    }

    private Optional<String> largestOther(long nowMs) {
        return hosts.live(nowMs).stream()
                .filter(name -> !name.equals(self))
                .max(Comparator.comparingDouble(hosts::processors));
    }
}
