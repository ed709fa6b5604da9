package org.acaciafold.standin;

import org.acaciafold.core.model.Resources;

/**
 * Highest concurrent usage of a worker since its start, for each resource separately.
 *
 * @param slots concurrent live requests
 * @param connections concurrent connections for live requests
 * @param cpuMillis CPU reserved by tasks in thousandths of a core
 * @param memoryMib memory reserved by tasks in MiB
 * @param accelerators accelerators reserved by tasks
 */
public record PeakUsage(int slots, int connections, long cpuMillis, long memoryMib, long accelerators) {
    /**
     * Returns the peak usage of a worker that has served no request and run no task.
     *
     * @return a record of zeros
     */
    public static PeakUsage empty() {
        return new PeakUsage(0, 0, 0, 0, 0);
    }

    PeakUsage withConnections(int used) {
        return new PeakUsage(slots, Math.max(connections, used), cpuMillis, memoryMib, accelerators);
    }

    PeakUsage withResources(Resources used) {
        return new PeakUsage(
                slots,
                connections,
                Math.max(cpuMillis, used.cpuMillis()),
                Math.max(memoryMib, used.memoryMib()),
                Math.max(accelerators, used.accelerators()));
    }

    PeakUsage withSlots(int used) {
        return new PeakUsage(Math.max(slots, used), connections, cpuMillis, memoryMib, accelerators);
    }
}
