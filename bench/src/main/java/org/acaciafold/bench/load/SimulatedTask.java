package org.acaciafold.bench.load;

/**
 * What a run of a task does on a sound worker.
 *
 * @param workMs how long it takes in milliseconds
 * @param fails whether this run fails
 * @param cpuMillis what it takes, in thousandths of a processor
 * @param gangSize how many tasks work together, 0 when each works alone
 */
record SimulatedTask(long workMs, boolean fails, long cpuMillis, int gangSize) {
    boolean gang() {
        return gangSize > 0;
    }
}
