package org.acaciafold.core.placement;

import java.util.Arrays;
import java.util.function.IntPredicate;

import org.acaciafold.core.model.Resources;

/**
 * Finds workers with enough free resources without looking at all of them.
 *
 * <p>A binary tree over the slots of workers whose nodes hold the largest free amount of each resource below them.
 * A change costs the depth of the tree. A search leaves out subtrees that cannot fit and stops after a bounded number
 * of nodes.
 */
final class WorkerIndex {
    /** No worker fits. */
    static final int NONE = -1;

    /** The search stopped before all workers that may fit were seen. */
    static final int LIMIT_REACHED = -2;

    private static final int MAX_VISITS = 512;
    private static final int INITIAL_SIZE = 32;

    private int size = INITIAL_SIZE;
    private long[] cpu = filled(INITIAL_SIZE);
    private long[] memory = filled(INITIAL_SIZE);
    private long[] accelerators = filled(INITIAL_SIZE);
    private int visits;

    /** Returns the number of slots. */
    int size() {
        return size;
    }

    /**
     * Finds a slot that fits, in cyclic order.
     *
     * @param demand what is needed
     * @param from the slot to begin with
     * @param accept a further condition on the slot
     * @return the slot, {@link #NONE} or {@link #LIMIT_REACHED}
     */
    int find(Resources demand, int from, IntPredicate accept) {
        visits = 0;
        int found = descend(1, 0, size, from, size, demand, accept);
        return found == NONE ? descend(1, 0, size, 0, from, demand, accept) : found;
    }

    /** Sets the free resources of a slot. */
    void set(int slot, Resources free) {
        put(slot, free.cpuMillis(), free.memoryMib(), free.accelerators());
    }

    /** Makes a slot fit nothing. */
    void clear(int slot) {
        put(slot, -1, -1, -1);
    }

    private int descend(int node, int low, int high, int from, int to, Resources demand, IntPredicate accept) {
        if (high <= from || low >= to || !fits(node, demand)) {
            return NONE;
        }
        visits++;
        if (visits > MAX_VISITS) {
            return LIMIT_REACHED;
        }
        if (high - low == 1) {
            return accept.test(low) ? low : NONE;
        }
        int middle = (low + high) >>> 1;
        int left = descend(2 * node, low, middle, from, to, demand, accept);
        return left == NONE ? descend(2 * node + 1, middle, high, from, to, demand, accept) : left;
    }

    private boolean fits(int node, Resources demand) {
        return demand.cpuMillis() <= cpu[node]
                && demand.memoryMib() <= memory[node]
                && demand.accelerators() <= accelerators[node];
    }

    private void put(int slot, long freeCpu, long freeMemory, long freeAccelerators) {
        while (slot >= size) {
            grow();
        }
        int node = size + slot;
        cpu[node] = freeCpu;
        memory[node] = freeMemory;
        accelerators[node] = freeAccelerators;
        for (node >>= 1; node >= 1 && combine(node); node >>= 1) {
            // the larger subtrees follow
        }
    }

    /** Recomputes a node and tells whether it has changed. */
    private boolean combine(int node) {
        long newCpu = Math.max(cpu[2 * node], cpu[2 * node + 1]);
        long newMemory = Math.max(memory[2 * node], memory[2 * node + 1]);
        long newAccelerators = Math.max(accelerators[2 * node], accelerators[2 * node + 1]);
        boolean changed = newCpu != cpu[node] || newMemory != memory[node] || newAccelerators != accelerators[node];
        cpu[node] = newCpu;
        memory[node] = newMemory;
        accelerators[node] = newAccelerators;
        return changed;
    }

    private void grow() {
        int old = size;
        size = 2 * old;
        cpu = grown(cpu, old);
        memory = grown(memory, old);
        accelerators = grown(accelerators, old);
        for (int node = size - 1; node >= 1; node--) {
            combine(node);
        }
    }

    private static long[] filled(int slots) {
        long[] values = new long[2 * slots];
        Arrays.fill(values, -1);
        return values;
    }

    private static long[] grown(long[] values, int old) {
        long[] larger = filled(2 * old);
        System.arraycopy(values, old, larger, 2 * old, old);
        return larger;
    }
}
