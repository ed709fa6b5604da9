package org.acaciafold.standin;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;

/** The control leases that a worker has granted: one fence and holder at a time, a new sequence for each grant. */
final class ControlLeases {
    private final Map<Long, Long> untilBySequence = new HashMap<>();
    private Fence fence = Fence.none();
    private HostId holder = HostId.of("none");
    private long untilMs;
    private long lastSequence;

    ControlLeases(long firstSequence) {
        lastSequence = firstSequence;
    }

    Fence fence() {
        return fence;
    }

    /** Tells whether a claim may be granted now; a fence belongs to one holder for ever. */
    boolean grants(Fence claimed, HostId by, long nowMs) {
        int order = claimed.compareTo(fence);
        if (order == 0) {
            return by.equals(holder);
        }
        return order > 0 && untilMs <= nowMs;
    }

    long grant(Fence claimed, HostId by, long nowMs, long validityMs) {
        if (!claimed.equals(fence)) {
            untilBySequence.clear();
        }
        untilBySequence.values().removeIf(until -> until <= nowMs);
        fence = claimed;
        holder = by;
        untilMs = Math.max(untilMs, nowMs + validityMs);
        untilBySequence.put(++lastSequence, nowMs + validityMs);
        return lastSequence;
    }

    HostId holder() {
        return holder;
    }

    void release() {
        untilMs = 0;
        untilBySequence.clear();
    }

    long remainingMs(long nowMs) {
        return Math.max(0, untilMs - nowMs);
    }

    boolean valid(long sequence, long nowMs) {
        Long until = untilBySequence.get(sequence);
        return until != null && until > nowMs;
    }
}
