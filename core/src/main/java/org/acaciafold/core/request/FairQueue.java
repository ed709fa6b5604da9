package org.acaciafold.core.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.acaciafold.core.model.WorkspaceId;

/**
 * A weighted fair queue over workspaces.
 *
 * <p>It serves workspaces in proportion to their weights, the lanes of a workspace in round-robin order, and the items
 * of a lane in order of arrival.
 *
 * <p>Example: {@code queue.take(lane -> hasCapacity(lane))} takes the next item whose lane has free capacity.
 *
 * @param <L> the type of the lanes
 * @param <T> the type of the items
 */
public final class FairQueue<L, T> {
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<WorkspaceId, WorkspaceQueue<L, T>> workspaces = new TreeMap<>();
    private final Map<WorkspaceId, Double> weights = new TreeMap<>();
    private double virtualTime;

    private FairQueue() {}

    /**
     * Creates a queue.
     *
     * @param <L> the type of the lanes
     * @param <T> the type of the items
     * @return a queue without items
     */
    public static <L, T> FairQueue<L, T> empty() {
        return new FairQueue<>();
    }

    /**
     * Adds an item at the end of its lane.
     *
     * @param workspace the workspace
     * @param lane the lane within the workspace
     * @param item the item
     */
    public void add(WorkspaceId workspace, L lane, T item) {
        WorkspaceQueue<L, T> queue = workspaces.computeIfAbsent(workspace, key -> new WorkspaceQueue<>(virtualTime));
        queue.lanes.computeIfAbsent(lane, key -> new ArrayDeque<>()).add(item);
        queue.size++;
    }

    /**
     * Removes an item.
     *
     * @param workspace its workspace
     * @param lane its lane
     * @param item the item
     */
    public void remove(WorkspaceId workspace, L lane, T item) {
        WorkspaceQueue<L, T> queue = workspaces.get(workspace);
        if (queue != null
                && queue.lanes.containsKey(lane)
                && queue.lanes.get(lane).remove(item)) {
            decrementSize(workspace, queue, lane);
        }
    }

    /**
     * Returns the share that a workspace receives while all workspaces with waiting items keep items waiting.
     *
     * @param workspace the workspace
     * @return a fraction above 0, at most 1
     */
    public double share(WorkspaceId workspace) {
        double sum = workspaces.containsKey(workspace) ? 0 : weight(workspace);
        for (WorkspaceId waiting : workspaces.keySet()) {
            sum += weight(waiting);
        }
        return weight(workspace) / sum;
    }

    /**
     * Returns the number of waiting items of a workspace.
     *
     * @param workspace the workspace
     * @return the number of items
     */
    public int size(WorkspaceId workspace) {
        WorkspaceQueue<L, T> queue = workspaces.get(workspace);
        return queue == null ? 0 : queue.size;
    }

    /**
     * Removes and returns the next item in fair order.
     *
     * @param ready returns whether the first item of a lane can be taken
     * @return the item, empty if no lane is ready
     */
    public Optional<T> take(Predicate<L> ready) {
        if (workspaces.isEmpty()) {
            return Optional.empty();
        }
        Comparator<WorkspaceId> byVirtualTime =
                Comparator.comparingDouble(workspace -> workspaces.get(workspace).virtualTime);
        List<WorkspaceId> order =
                workspaces.keySet().stream().sorted(byVirtualTime).toList();
        for (WorkspaceId workspace : order) {
            WorkspaceQueue<L, T> queue = workspaces.get(workspace);
            Optional<L> lane = queue.lanes.keySet().stream().filter(ready).findFirst();
            if (lane.isPresent()) {
                return Optional.of(take(workspace, queue, lane.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Sets the weight of a workspace.
     *
     * @param workspace the workspace
     * @param value its weight, above 0
     */
    public void weight(WorkspaceId workspace, double value) {
        weights.put(workspace, value);
    }

    private void decrementSize(WorkspaceId workspace, WorkspaceQueue<L, T> queue, L lane) {
        queue.size--;
        if (queue.lanes.get(lane).isEmpty()) {
            queue.lanes.remove(lane);
        }
        if (queue.size == 0) {
            workspaces.remove(workspace);
        }
    }

    private T take(WorkspaceId workspace, WorkspaceQueue<L, T> queue, L lane) {
        Deque<T> items = queue.lanes.remove(lane);
        T item = items.remove();
        queue.lanes.put(lane, items);
        virtualTime = Math.max(virtualTime, queue.virtualTime);
        queue.virtualTime += 1 / weight(workspace);
        decrementSize(workspace, queue, lane);
        return item;
    }

    private double weight(WorkspaceId workspace) {
        return weights.getOrDefault(workspace, DEFAULT_WEIGHT);
    }

    private static final class WorkspaceQueue<L, T> {
        private final Map<L, Deque<T>> lanes = new LinkedHashMap<>();
        private double virtualTime;
        private int size;

        private WorkspaceQueue(double virtualTime) {
            this.virtualTime = virtualTime;
        }
    }
}
