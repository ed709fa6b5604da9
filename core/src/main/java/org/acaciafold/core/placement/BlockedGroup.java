package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** Queues that wait for the same resources: capacity for the same demand, or the allotment of one workspace. */
final class BlockedGroup {
    private static final int CLASSES = JobClass.values().length;

    final Resources demand;
    final Set<ShapeQueue> queues = new LinkedHashSet<>();

    BlockedGroup(Resources demand) {
        this.demand = demand;
    }

    void add(ShapeQueue queue) {
        queues.add(queue);
        queue.group = this;
    }

    void remove(ShapeQueue queue) {
        queues.remove(queue);
        queue.group = null;
    }

    /** Returns the queues that come first in the order of starts, up to a limit. */
    List<ShapeQueue> first(int limit) {
        if (limit >= queues.size()) {
            return List.copyOf(queues);
        }
        List<ShapeQueue> first = new ArrayList<>(limit + 1);
        for (ShapeQueue queue : queues) {
            queue.startPosition = startPosition(queue);
            insert(first, queue, limit);
        }
        return first;
    }

    /** Returns the queues that have waited longest, up to a limit. */
    List<ShapeQueue> oldest(int limit) {
        return queues.stream().limit(limit).toList();
    }

    private static void insert(List<ShapeQueue> first, ShapeQueue queue, int limit) {
        int position = first.size();
        while (position > 0 && first.get(position - 1).startPosition > queue.startPosition) {
            position--;
        }
        if (position == limit) {
            return;
        }
        first.add(position, queue);
        if (first.size() > limit) {
            first.removeLast();
        }
    }

    /** Returns the position of a queue in the order of starts: the rank of its class, then its workspace's share. */
    private static double startPosition(ShapeQueue queue) {
        ClassQueue parent = queue.parent;
        boolean later = parent.jobClass != JobClass.URGENT && parent.workspace.aboveShareAtTickStart;
        int rank = parent.jobClass.ordinal() + (later ? CLASSES : 0);
        double share = parent.workspace.shareAtTickStart;
        return rank + share / (1 + share);
    }
}
