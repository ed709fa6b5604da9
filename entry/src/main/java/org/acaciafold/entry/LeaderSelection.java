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

    /** A host that has just started is busy with its start, and takes over slowly. */
    private static final long MIN_UP_MS = 1_500;

    /** Hosts of a deployment that start together do so within this time; one that starts later has restarted. */
    private static final long START_SPREAD_MS = 5_000;

    /** How long a small host waits for larger ones to acquire an expired lease: two of their polling periods. */
    private static final long DEFER_MS = 200;

    /** How long a leader without the store asks only the largest hosts: two of its polling periods. */
    private static final long LARGEST_ONLY_MS = 200;

    private final String self;
    private final double processors;
    private final long startedAtMs;
    private final HostTable hosts;
    private double largestReported;
    private long deferredVersion = -1;
    private long deferUntilMs;

    LeaderSelection(String self, double processors, long startedAtMs, HostTable hosts) {
        this.self = self;
        this.processors = processors;
        this.startedAtMs = startedAtMs;
        this.hosts = hosts;
    }

    /** Records the number of processors of the largest host that sends heartbeats to the leader. */
    void recordLargest(double largest) {
        largestReported = largest;
    }

    /** Returns whether this host follows a leader and none is known that is much larger, so that it may lead next. */
    boolean isAmongLargest() {
        return largestReported > 0 && largestReported < HANDOVER_SIZE_RATIO * processors;
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

    /**
     * Returns the address of the host that should lead once this one stops: among the largest ones the oldest of those
     * that have restarted since this host started. In a rolling restart the others stop next, and each handover pauses
     * scheduling for a moment.
     *
     * @param nowMs the time on the monotonic clock
     * @return the address; empty when no other host is live
     */
    Optional<String> successor(long nowMs) {
        double minProcessors = largestOther(nowMs).map(hosts::processors).orElse(0.0) / HANDOVER_SIZE_RATIO;
        return hosts.live(nowMs).stream()
                .filter(name -> !name.equals(self) && hosts.processors(name) > minProcessors)
                .filter(name -> hosts.startedAtMs(name) - startedAtMs > START_SPREAD_MS)
                .filter(name -> nowMs - hosts.startedAtMs(name) >= MIN_UP_MS)
                .min(Comparator.comparingLong(hosts::startedAtMs))
                .or(() -> largestOther(nowMs))
                .flatMap(hosts::address);
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

    /** Returns how long this host has been running, in milliseconds. */
    long upMs(long nowMs) {
        return nowMs - startedAtMs;
    }

    private Optional<String> largestOther(long nowMs) {
        return hosts.live(nowMs).stream()
                .filter(name -> !name.equals(self))
                .max(Comparator.comparingDouble(hosts::processors));
    }
}
