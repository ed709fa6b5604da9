package org.acaciafold.entry;

/**
 * The lease row of the slice: its holder is the leader.
 *
 * @param host the leader
 * @param address the address at which its peers reach it
 * @param life the incarnation of its process
 * @param epoch the number of its term, which is the fencing token of its orders
 * @param leaseMs how long the leader may send orders after this renewal, in milliseconds
 * @param released true once the leader has released the lease
 */
record LeaseRecord(String host, String address, long life, long epoch, long leaseMs, boolean released) {
    LeaseRecord renewed(long nextLeaseMs, boolean nextReleased) {
        return new LeaseRecord(host, address, life, epoch, nextLeaseMs, nextReleased);
    }
}
