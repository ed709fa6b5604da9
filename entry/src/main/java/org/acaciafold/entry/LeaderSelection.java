package org.acaciafold.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the host that should lead next: the largest live one.
 *
 * <p>A leader hands over to a host that is much larger than itself. A host that is much smaller than the largest one
 * lets others acquire an expired lease first.
 */
final class LeaderSelection {
    /** A handover pauses scheduling for a moment, so a new leader must have at least this many times the processors. */
    private static final double HANDOVER_SIZE_RATIO = 1.5;

    /** How long a small host waits for larger ones to acquire an expired lease: two of their polling periods. */
    private static final long DEFER_MS = 200;

    /** How long a leader without the store asks only the largest hosts: two of its polling periods. */
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

    /** Records the number of processors of the largest host that sends heartbeats to the leader. */
    void recordLargest(double largest) {
        largestReported = largest;
    }

    /** Returns the number of processors of the largest live host. */
    double largest(long nowMs) {
        return Math.max(processors, largestOther(nowMs).map(hosts::processors).orElse(0.0));
    }

    /** Returns the address of a much larger host that should lead instead of this one. */
    Optional<String> preferredLeader(long nowMs) {
        return largestOther(nowMs)
                .filter(name -> hosts.processors(name) >= HANDOVER_SIZE_RATIO * processors)
                .flatMap(hosts::address);
    }

    /**
     * Returns the hosts that a leader asks to take over when it cannot reach the store: the largest first, then all.
     *
     * @param overdueMs how long it has been asking, in milliseconds
     * @param nowMs the time in milliseconds
     * @return the addresses of these hosts
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

    /** Returns the address of the host that should lead once this one stops. */
    Optional<String> successor(long nowMs) {
        return largestOther(nowMs).flatMap(hosts::address);
    }

    /**
     * Returns whether this host leaves an expired lease to larger hosts for now.
     *
     * @param version the version of the lease row
     * @param nowMs the time in milliseconds
     * @return true for a short time after the first call for this version, if a much larger host is known
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
