package org.acaciafold.fleet.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.acaciafold.fleet.StepName;

/**
 * Counts the abandoned advice calls whose answers may still arrive.
 *
 * <p>An answer names its host and its step, but not its call, so it may belong to an earlier call than the one in flight.
 */
final class AbandonedCalls {
    /** How long after a call was abandoned its answer may still arrive. */
    private static final long LATE_ANSWER_MS = 5_000;

    private final Map<Key, Deque<Long>> expiriesMs = new HashMap<>();

    void add(StepName step, String host, long nowMs) {
        expiriesMs
                .computeIfAbsent(new Key(step, host), key -> new ArrayDeque<>())
                .add(nowMs + LATE_ANSWER_MS);
    }

    /** Returns whether the answer to an abandoned call may still arrive. */
    boolean mayAnswer(StepName step, String host) {
        return expiriesMs.containsKey(new Key(step, host));
    }

    /** Records that the answer to an abandoned call has arrived. */
    void answered(StepName step, String host) {
        expiriesMs.computeIfPresent(new Key(step, host), (key, expiries) -> {
            expiries.poll();
            return expiries.isEmpty() ? null : expiries;
        });
    }

    /** Forgets the calls whose answers can no longer arrive. */
    void expire(long nowMs) {
        expiriesMs.values().removeIf(expiries -> {
            expiries.removeIf(expiryMs -> nowMs >= expiryMs);
            return expiries.isEmpty();
        });
    }

    private record Key(StepName step, String host) {}
}
