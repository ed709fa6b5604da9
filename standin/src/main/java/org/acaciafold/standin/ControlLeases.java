package org.acaciafold.standin;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;

/** The control leases that a worker has granted: one fencing token and holder at a time, a new sequence per grant. */
final class ControlLeases {
    private final Map<Long, Long> expiryBySequence = new HashMap<>();
    private Fence fence = Fence.none();
    private HostId holder = HostId.of("none");
    private long expiresMs;
    private long lastSequence;

    ControlLeases(long firstSequence) {
        lastSequence = firstSequence;
    }

    Fence fence() {
        return fence;
    }

    /** Returns whether a claim can be granted now; a fencing token never passes to another holder. */
    boolean canGrant(Fence claimed, HostId by, long nowMs) {
        int order = claimed.compareTo(fence);
        if (order == 0) {
            return by.equals(holder);
        }
        return order > 0 && expiresMs <= nowMs;
    }

    long grant(Fence claimed, HostId by, long nowMs, long validityMs) {
        if (!claimed.equals(fence)) {
            expiryBySequence.clear();
        }
        expiryBySequence.values().removeIf(until -> until <= nowMs);
        fence = claimed;
        holder = by;
        expiresMs = Math.max(expiresMs, nowMs + validityMs);
        expiryBySequence.put(++lastSequence, nowMs + validityMs);
        return lastSequence;
    }

    HostId holder() {
        return holder;
    }

    void release() {
        expiresMs = 0;
        expiryBySequence.clear();
    }

    long remainingMs(long nowMs) {
        return Math.max(0, expiresMs - nowMs);
    }

    boolean valid(long sequence, long nowMs) {
        Long until = expiryBySequence.get(sequence);
        return until != null && until > nowMs;
    }
}
