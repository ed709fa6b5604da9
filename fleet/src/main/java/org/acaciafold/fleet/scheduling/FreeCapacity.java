package org.acaciafold.fleet.scheduling;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;

/** Tracks the resources of a worker that are still free in a tick. */
final class FreeCapacity {
    final WorkerRow worker;
    final WorkerEntry entry;
    private long cpuMillis;
    private long memoryMib;
    private long accelerators;
    /** How many more runs the record of the worker's claims can hold. */
    private long runs;

    private FreeCapacity(WorkerRow worker, WorkerEntry entry) {
        this.worker = worker;
        this.entry = entry;
        Resources free = worker.free();
        this.cpuMillis = free.cpuMillis();
        this.memoryMib = free.memoryMib();
        this.accelerators = free.accelerators();
        this.runs = WorkerClaims.MAX_CLAIMS - worker.runs.size();
    }

    /** Returns the free capacity of a registered worker. */
    static FreeCapacity of(WorkerRow worker) {
        return new FreeCapacity(worker, worker.entry().orElseThrow());
    }

    /** Reserves all free capacity, so that no other task fits in this tick. */
    void reserveAll() {
        cpuMillis = 0;
        memoryMib = 0;
        accelerators = 0;
    }

    long cpuMillis() {
        return cpuMillis;
    }

    Resources free() {
        return Resources.of(Math.max(0, cpuMillis), Math.max(0, memoryMib), Math.max(0, accelerators));
    }

    boolean fits(Resources each) {
        return runs > 0
                && each.cpuMillis() <= cpuMillis
                && each.memoryMib() <= memoryMib
                && each.accelerators() <= accelerators;
    }

    /** Returns how many tasks of a size fit. */
    int maxTasks(Resources each) {
        return fits(each) ? (int) Math.min(runs, maxTasks(cpuMillis, memoryMib, accelerators, each)) : 0;
    }

    /** Returns how many tasks of a size would fit if more were free. */
    int maxTasksWith(Resources released, Resources each) {
        long cpu = cpuMillis + released.cpuMillis();
        long memory = memoryMib + released.memoryMib();
        return maxTasks(cpu, memory, accelerators + released.accelerators(), each);
    }

    /** Returns how many tasks of a size would fit beside the tasks that last, which do not end by themselves. */
    int maxTasksWhenReleased(Resources each) {
        Resources all = entry.capacity();
        for (RunRow run : worker.runs.values()) {
            all = run.task.step.spec.longRunning() ? all.minus(run.resources) : all;
        }
        return maxTasks(all.cpuMillis(), all.memoryMib(), all.accelerators(), each);
    }

    void reserve(Resources each, int tasks) {
        cpuMillis -= each.cpuMillis() * tasks;
        memoryMib -= each.memoryMib() * tasks;
        accelerators -= each.accelerators() * tasks;
        runs -= tasks;
    }

    private static int maxTasks(long cpuMillis, long memoryMib, long accelerators, Resources each) {
        long max = quotient(cpuMillis, each.cpuMillis());
        max = Math.min(max, quotient(memoryMib, each.memoryMib()));
        max = Math.min(max, quotient(accelerators, each.accelerators()));
        return Math.clamp(max, 0, Integer.MAX_VALUE);
    }

    private static long quotient(long free, long each) {
        return each <= 0 ? Integer.MAX_VALUE : free / each;
    }
}
