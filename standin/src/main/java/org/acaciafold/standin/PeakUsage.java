package org.acaciafold.standin;

import org.acaciafold.core.model.Resources;

/**
 * The most that a worker has ever had in use at once.
 *
 * @param slots live requests
 * @param connections connections for live requests
 * @param cpuMillis processors of its tasks in thousandths of a core
 * @param memoryMib memory of its tasks in MiB
 * @param accelerators accelerators of its tasks
 */
public record PeakUsage(int slots, int connections, long cpuMillis, long memoryMib, long accelerators) {
    /**
     * Returns the peak of a worker that has done nothing.
     *
     * @return zero of each
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
