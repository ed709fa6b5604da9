package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** Queues that wait for the same: room for as much, or the allotment of one workspace. */
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

    /** Returns the queues that come first in the order of starts, at most so many. */
    List<ShapeQueue> first(int most) {
        if (most >= queues.size()) {
            return List.copyOf(queues);
        }
        List<ShapeQueue> first = new ArrayList<>(most + 1);
        for (ShapeQueue queue : queues) {
            queue.turn = turn(queue);
            insert(first, queue, most);
        }
        return first;
    }

    /** Returns the queues that have waited longest, at most so many. */
    List<ShapeQueue> oldest(int most) {
        return queues.stream().limit(most).toList();
    }

    private static void insert(List<ShapeQueue> first, ShapeQueue queue, int most) {
        int position = first.size();
        while (position > 0 && first.get(position - 1).turn > queue.turn) {
            position--;
        }
        if (position == most) {
            return;
        }
        first.add(position, queue);
        if (first.size() > most) {
            first.removeLast();
        }
    }

    /** Returns the place of a queue in the order of starts: the rank of its class, then the share of its workspace. */
    private static double turn(ShapeQueue queue) {
        ClassQueue parent = queue.parent;
        boolean later = parent.jobClass != JobClass.URGENT && parent.workspace.wasAboveShare;
        int rank = parent.jobClass.ordinal() + (later ? CLASSES : 0);
        double share = parent.workspace.shareBefore;
        return rank + share / (1 + share);
    }
}
