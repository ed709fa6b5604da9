package org.acaciafold.core.placement;

import java.util.Arrays;
import java.util.function.IntPredicate;

import org.acaciafold.core.model.Resources;

/**
 * Finds workers with enough free capacity without examining all of them.
 *
 * <p>The index is a binary tree over the slots of workers. Each node stores the largest free amount of each resource
 * in its subtree. An update costs the depth of the tree. A search skips subtrees that cannot fit and stops after a
 * bounded number of nodes.
 */
final class WorkerIndex {
    /** The search result when no worker fits. */
    static final int NONE = -1;

    /** The search result when the search stopped before it had examined all workers that may fit. */
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
     * Finds a slot with enough free capacity, in cyclic order.
     *
     * @param demand the resources that the slot must have free
     * @param from the slot at which the search starts
     * @param accept an additional condition on the slot
     * @return the slot, {@link #NONE} or {@link #LIMIT_REACHED}
     */
    int find(Resources demand, int from, IntPredicate accept) {
        visits = 0;
        int found = descend(1, 0, size, from, size, demand, accept);
        return found == NONE ? descend(1, 0, size, 0, from, demand, accept) : found;
    }

    /** Sets the free capacity of a slot. */
    void set(int slot, Resources free) {
        update(slot, free.cpuMillis(), free.memoryMib(), free.accelerators());
    }

    /** Marks a slot as full, so that no demand fits. */
    void clear(int slot) {
        update(slot, -1, -1, -1);
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

    private void update(int slot, long freeCpu, long freeMemory, long freeAccelerators) {
        while (slot >= size) {
            grow();
        }
        int node = size + slot;
        cpu[node] = freeCpu;
        memory[node] = freeMemory;
        accelerators[node] = freeAccelerators;
        for (node >>= 1; node >= 1 && combine(node); node >>= 1) {
            // update the ancestors until a node does not change
        }
    }

    /** Recomputes a node from its children and returns whether it has changed. */
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
