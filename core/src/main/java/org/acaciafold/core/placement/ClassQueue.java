package org.acaciafold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.acaciafold.core.model.Resources;

/** The waiting jobs of one team and class, grouped by what their tasks demand. */
final class ClassQueue {
    final TeamRow team;

    private final Map<Resources, ShapeQueue> shapes = new HashMap<>();
    private final TreeSet<ShapeQueue> ready = new TreeSet<>(ShapeQueue.BY_HEAD);

    ClassQueue(TeamRow team) {
        this.team = team;
    }

    /** Adds a job with a task to start; a lower key comes first. */
    void add(JobRow job, long key) {
        if (job.queued) {
            return;
        }
        job.queued = true;
        ShapeQueue shape = shapes.computeIfAbsent(job.spec.demand(), demand -> new ShapeQueue(this, demand));
        if (shape.blocked) {
            shape.add(job, key);
            return;
        }
        ready.remove(shape);
        shape.add(job, key);
        insert(shape);
    }

    /** Takes a queue out until it is unblocked. */
    void block(ShapeQueue shape) {
        ready.remove(shape);
        shape.blocked = true;
    }

    /** Returns the queue with the first job that is not blocked, null when there is none. */
    ShapeQueue first() {
        while (!ready.isEmpty()) {
            ShapeQueue shape = ready.first();
            if (shape.head() != null && !shape.orderChanged()) {
                return shape;
            }
            reorder(shape);
        }
        return null;
    }

    /** Puts a queue into its place after its first job has changed. */
    void reorder(ShapeQueue shape) {
        ready.remove(shape);
        insert(shape);
    }

    /** Lets a blocked queue try again. */
    void unblock(ShapeQueue shape) {
        shape.blocked = false;
        insert(shape);
    }

    private void insert(ShapeQueue shape) {
        if (shape.head() == null) {
            shapes.remove(shape.demand);
            return;
        }
        shape.refreshOrder();
        ready.add(shape);
    }
}
