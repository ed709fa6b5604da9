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
 * @param sentAtStoreMs the latest time that the store's clock can have shown when this renewal was sent; 0 when unknown
 */
record LeaseRecord(
        String host, String address, long life, long epoch, long leaseMs, boolean released, long sentAtStoreMs) {
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

    LeaseRecord renewed(long nextLeaseMs, boolean nextReleased, long nextSentAtStoreMs) {
        return new LeaseRecord(host, address, life, epoch, nextLeaseMs, nextReleased, nextSentAtStoreMs);
    }

    /** Returns when the leader's authority ends by this renewal at the latest, on the store's clock; 0 when unknown. */
    long endsAtStoreMs() {
        return sentAtStoreMs <= 0 ? 0 : sentAtStoreMs + leaseMs;
    }
}
