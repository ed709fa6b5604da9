package org.acaciafold.entry;

import java.util.Objects;

/**
 * The lease row of the slice: its holder is the leader.
 *
 * @param host the leader
 * @param address the address at which its peers reach it
 * @param life the incarnation of its process
 * @param epoch the number of its term, which is the fencing token of its orders until a higher one is recorded
 * @param leaseMs how long the leader may send orders after this renewal, in milliseconds
 * @param released true once the leader has released the lease
 * @param endsAtStoreMs when the leader's authority ends at the latest, on the store's clock; 0 when unknown
 * @param fencingToken the highest token that its orders may carry; 0 for the number of the term
 */
record LeaseRecord(
        String host,
        String address,
        long life,
        long epoch,
        long leaseMs,
        boolean released,
        long endsAtStoreMs,
        long fencingToken) {
    /** Numbers of runs grow by a thousand a term, and are 31 bits long. */
    private static final long MAX_EPOCH = 2_000_000;

    private static final long MAX_LEASE_MS = 60_000;

    LeaseRecord {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
        if (epoch < 1 || epoch > MAX_EPOCH || leaseMs < 0 || leaseMs > MAX_LEASE_MS) {
            throw new IllegalArgumentException("epoch or length of the lease out of range");
        }
        if (fencingToken < 0 || fencingToken > MAX_EPOCH) {
            throw new IllegalArgumentException("fencing token out of range");
        }
    }

    /** Returns the lease of a host that begins a term. */
    static LeaseRecord acquired(String host, String address, long life, long epoch) {
        return new LeaseRecord(host, address, life, epoch, LeaseKeeper.LEASE_MS, false, 0, epoch);
    }

    /** Returns the number of the next term, above all tokens of this one. */
    long nextEpoch() {
        return Math.max(epoch, fencingToken) + 1;
    }

    /**
     * Returns a renewal.
     *
     * @param nextLeaseMs the length of its lease, in milliseconds
     * @param nextReleased whether it releases the lease
     * @param storeMs what the store's clock shows at the latest when it is sent; 0 when unknown
     * @param nextToken the highest token that orders may carry from then on
     */
    LeaseRecord renewed(long nextLeaseMs, boolean nextReleased, long storeMs, long nextToken) {
        // a shorter renewal whose reply is lost leaves the leader the authority of a longer one before it
        long nextEndsAtStoreMs = storeMs <= 0 ? 0 : Math.max(endsAtStoreMs, storeMs + nextLeaseMs);
        return new LeaseRecord(
                host,
                address,
                life,
                epoch,
                nextLeaseMs,
                nextReleased,
                nextEndsAtStoreMs,
                Math.max(fencingToken, nextToken));
    }
}
