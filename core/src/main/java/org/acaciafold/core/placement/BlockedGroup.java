package org.acaciafold.core.placement;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** Queues that wait for the same: room for as much, or the allotment of one team. */
final class BlockedGroup {
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

    /** Returns the queues that come first in the order of starts, at most so many. */
    List<ShapeQueue> first(int most, Resources capacity) {
        if (most >= queues.size()) {
            return List.copyOf(queues);
        }
        Comparator<ShapeQueue> order = Comparator.<ShapeQueue>comparingInt(queue -> rank(queue, capacity))
                .thenComparingDouble(queue -> queue.parent.team.weightedShare(capacity));
        if (most == 1) {
            return List.of(queues.stream().min(order).orElseThrow());
        }
        return queues.stream().sorted(order).limit(most).toList();
    }

    /** Returns the queues that have waited longest, at most so many. */
    List<ShapeQueue> oldest(int most) {
        return queues.stream().limit(most).toList();
    }

    private static int rank(ShapeQueue queue, Resources capacity) {
        int classes = JobClass.values().length;
        JobClass jobClass = queue.parent.jobClass;
        boolean later = jobClass != JobClass.URGENT && queue.parent.team.aboveShare(queue.demand, capacity);
        return jobClass.ordinal() + (later ? classes : 0);
    }
}
