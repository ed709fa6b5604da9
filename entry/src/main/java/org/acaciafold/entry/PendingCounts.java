package org.acaciafold.entry;

import java.util.Map;
import java.util.OptionalInt;

/** The numbers of jobs without a started task, as last received from the leader. */
final class PendingCounts {
    /** Below the two seconds that the contract with clients allows for these counts. */
    private static final long MAX_AGE_MS = 1_500;

    private Map<String, Integer> byRoute = Map.of();
    private long receivedAtMs = Long.MIN_VALUE / 2;

    void received(Map<String, Integer> counts, long nowMs) {
        byRoute = counts;
        receivedAtMs = nowMs;
    }

    /** Returns the count of a queue; empty when the last counts are too old. */
    OptionalInt of(String route, long nowMs) {
        return nowMs - receivedAtMs < MAX_AGE_MS ? count(byRoute, route) : OptionalInt.empty();
    }

    static OptionalInt count(Map<String, Integer> counts, String route) {
        return OptionalInt.of(counts.getOrDefault(route, 0));
    }
}
