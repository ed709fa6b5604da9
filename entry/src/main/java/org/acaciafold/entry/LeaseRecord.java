package org.acaciafold.entry;

/**
 * The row that makes one host the leader of the slice.
 *
 * @param host the leader
 * @param address where its peers reach it
 * @param life the number of this life of its process
 * @param epoch the number of its term, which is the fencing token of its orders
 * @param leaseMs how long the leader may command after this renewal, in milliseconds
 * @param released true when it has given the lease up
 */
record LeaseRecord(String host, String address, long life, long epoch, long leaseMs, boolean released) {
    LeaseRecord renewed(long nextLeaseMs, boolean nextReleased) {
        return new LeaseRecord(host, address, life, epoch, nextLeaseMs, nextReleased);
    }
}
