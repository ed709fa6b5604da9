package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/**
 * The queues whose first job did not fit; they are blocked until capacity or allotment is freed.
 *
 * <p>Queues with the same demand form a group. Groups are stored in buckets by the power of two of their demand, so
 * that freed capacity is compared with few buckets only. When capacity is freed, as many queues of a group are retried
 * as tasks fit into it, in the order of starts.
 */
final class BlockedQueues {
    private static final int GROUPS_PER_TICK = 32;
    private static final int QUEUES_OF_WORKSPACE_PER_TICK = 16;
    private static final int MAX_QUEUES_OF_GROUP = 8;
    private static final int MAX_FREE_CAPACITIES = 32;

    private final Map<Resources, Bucket> buckets = new LinkedHashMap<>();
    private final Map<WorkspaceRow, BlockedGroup> byWorkspace = new HashMap<>();
    private final Set<Bucket> dueBuckets = new LinkedHashSet<>();
    /** The workspaces with freed or raised allotment, and how many of their blocked queues remain to be retried. */
    private final Map<WorkspaceRow, Integer> dueWorkspaces = new LinkedHashMap<>();

    private final Set<BlockedGroup> dueGroups = new LinkedHashSet<>();
    private boolean ignoringReleases;

    /** The demand that a queue waits for. */
    private record Shape(Resources demand, int atOnce) {}

    private static final class Bucket {
        final Resources minimum;
        final Map<Shape, BlockedGroup> groups = new LinkedHashMap<>();
        final List<Resources> freeCapacities = new ArrayList<>();
        int remainingGroups;

        Bucket(Resources minimum) {
            this.minimum = minimum;
        }
    }

    /** Sets whether releases are ignored; rolling back a start frees no more capacity than there was before it. */
    void ignoreReleases(boolean value) {
        ignoringReleases = value;
    }

    /** Records that a workspace uses less than before or that its allotment was raised. */
    void allotmentFreed(WorkspaceRow workspace) {
        if (!ignoringReleases && byWorkspace.containsKey(workspace)) {
            dueWorkspaces.put(workspace, byWorkspace.get(workspace).queues.size());
        }
    }

    /** Blocks a queue until its workspace has allotment left. */
    void blockForAllotment(ShapeQueue queue) {
        byWorkspace
                .computeIfAbsent(queue.parent.workspace, workspace -> new BlockedGroup(Resources.empty()))
                .add(queue);
    }

    /** Blocks a queue until a worker has more free capacity. */
    void blockForCapacity(ShapeQueue queue, boolean retryNextTick) {
        Bucket bucket = buckets.computeIfAbsent(floor(queue.demand), Bucket::new);
        Shape shape = new Shape(queue.demand, queue.atOnce);
        BlockedGroup group = bucket.groups.computeIfAbsent(shape, key -> new BlockedGroup(key.demand()));
        group.add(queue);
        if (retryNextTick) {
            dueGroups.add(group);
        }
    }

    /** Records the free capacity of a worker. */
    void capacityFreed(Resources free) {
        if (ignoringReleases) {
            return;
        }
        for (Bucket bucket : buckets.values()) {
            if (!bucket.groups.isEmpty() && bucket.minimum.fitsIn(free)) {
                addFreeCapacity(bucket, free);
            }
        }
    }

    /** Unblocks queues for which capacity or allotment was freed. */
    void unblock() {
        List<BlockedGroup> groups = List.copyOf(dueGroups);
        dueGroups.clear();
        groups.forEach(group -> retry(group, 1));
        for (Bucket bucket : List.copyOf(dueBuckets)) {
            retry(bucket);
        }
        for (WorkspaceRow workspace : List.copyOf(dueWorkspaces.keySet())) {
            retry(workspace);
        }
    }

    private void addFreeCapacity(Bucket bucket, Resources free) {
        if (bucket.freeCapacities.size() < MAX_FREE_CAPACITIES) {
            bucket.freeCapacities.add(free);
        } else {
            bucket.freeCapacities.set(0, bucket.freeCapacities.getFirst().max(free));
        }
        bucket.remainingGroups = bucket.groups.size();
        dueBuckets.add(bucket);
    }

    private void retry(Bucket bucket) {
        for (int i = 0; i < GROUPS_PER_TICK && bucket.remainingGroups > 0 && !bucket.groups.isEmpty(); i++) {
            bucket.remainingGroups--;
            Shape shape = bucket.groups.keySet().iterator().next();
            BlockedGroup group = bucket.groups.remove(shape);
            int fitting = 0;
            for (Resources free : bucket.freeCapacities) {
                fitting += Math.min(group.queues.size(), TaskFit.count(free, group.demand));
            }
            if (fitting > 0) {
                retry(group, Math.min(fitting, MAX_QUEUES_OF_GROUP));
            }
            if (!group.queues.isEmpty()) {
                bucket.groups.put(shape, group);
            }
        }
        if (bucket.remainingGroups <= 0 || bucket.groups.isEmpty()) {
            bucket.freeCapacities.clear();
            dueBuckets.remove(bucket);
        }
    }

    /** Retries the oldest queues of a workspace, a bounded number per tick, because their demands differ. */
    private void retry(WorkspaceRow workspace) {
        BlockedGroup group = byWorkspace.get(workspace);
        int remaining = dueWorkspaces.remove(workspace);
        for (ShapeQueue queue : group.oldest(Math.min(remaining, QUEUES_OF_WORKSPACE_PER_TICK))) {
            queue.parent.unblock(queue);
        }
        if (group.queues.isEmpty()) {
            byWorkspace.remove(workspace);
        } else if (remaining > QUEUES_OF_WORKSPACE_PER_TICK) {
            dueWorkspaces.put(workspace, remaining - QUEUES_OF_WORKSPACE_PER_TICK);
        }
    }

    private static void retry(BlockedGroup group, int queues) {
        for (ShapeQueue queue : group.first(queues)) {
            queue.parent.unblock(queue);
        }
    }

    private static Resources floor(Resources demand) {
        return Resources.of(
                Long.highestOneBit(demand.cpuMillis()),
                Long.highestOneBit(demand.memoryMib()),
                Long.highestOneBit(demand.accelerators()));
    }
}
