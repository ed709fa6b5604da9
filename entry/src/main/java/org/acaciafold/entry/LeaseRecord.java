package org.acaciafold.entry;

/**
 * The row that makes one host the leader of the slice.
 *
 * @param host the leader
 * @param address where its peers reach it
 * @param life the number of this life of its process
 * @param epoch the number of its term, which is the fencing token of its orders
 * @param released true when it has given the lease up
 */
record LeaseRecord(String host, String address, long life, long epoch, boolean released) {
    LeaseRecord withReleased() {
        return new LeaseRecord(host, address, life, epoch, true);
    }
}
