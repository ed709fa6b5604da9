package org.acaciafold.entry;

import java.util.Objects;

/**
 * The lease row of the slice: its holder is the leader.
 *
 * @param host the leader
 * @param address the address at which its peers reach it
 * @param life the incarnation of its process
 * @param epoch the number of its term, which is the fencing token of its orders
 * @param leaseMs how long the leader may send orders after this renewal, in milliseconds
 * @param released true once the leader has released the lease
 * @param endsAtStoreMs when the leader's authority ends at the latest, on the store's clock; 0 when unknown
 */
record LeaseRecord(
        String host, String address, long life, long epoch, long leaseMs, boolean released, long endsAtStoreMs) {
    /** Numbers of runs grow by a thousand a term, and are 31 bits long. */
    private static final long MAX_EPOCH = 2_000_000;

    private static final long MAX_LEASE_MS = 60_000;

    LeaseRecord {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
        if (epoch < 1 || epoch > MAX_EPOCH || leaseMs < 0 || leaseMs > MAX_LEASE_MS) {
            throw new IllegalArgumentException("epoch or length of the lease out of range");
        }
    }

    /** Returns a renewal that is sent when the store's clock shows the given time at the latest; 0 when unknown. */
    LeaseRecord renewed(long nextLeaseMs, boolean nextReleased, long storeMs) {
        // a shorter renewal whose reply is lost leaves the leader the authority of a longer one before it
        long nextEndsAtStoreMs = storeMs <= 0 ? 0 : Math.max(endsAtStoreMs, storeMs + nextLeaseMs);
        return new LeaseRecord(host, address, life, epoch, nextLeaseMs, nextReleased, nextEndsAtStoreMs);
    }
}
