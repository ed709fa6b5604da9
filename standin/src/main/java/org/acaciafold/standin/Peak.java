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
public record Peak(int slots, int connections, long cpuMillis, long memoryMib, long accelerators) {
    /**
     * Returns the peak of a worker that has done nothing.
     *
     * @return zero of each
     */
    public static Peak empty() {
        return new Peak(0, 0, 0, 0, 0);
    }

    Peak withConnections(int used) {
        return new Peak(slots, Math.max(connections, used), cpuMillis, memoryMib, accelerators);
    }

    Peak withResources(Resources used) {
        return new Peak(
                slots,
                connections,
                Math.max(cpuMillis, used.cpuMillis()),
                Math.max(memoryMib, used.memoryMib()),
                Math.max(accelerators, used.accelerators()));
    }

    Peak withSlots(int used) {
        return new Peak(Math.max(slots, used), connections, cpuMillis, memoryMib, accelerators);
    }
}
