package org.acaciafold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.acaciafold.core.model.Resources;

/** The waiting jobs of one workspace and class, grouped by the demand of their tasks. */
final class ClassQueue {
    final WorkspaceRow workspace;
    final JobClass jobClass;

    private final Map<Shape, ShapeQueue> shapes = new HashMap<>();
    private final TreeSet<ShapeQueue> ready = new TreeSet<>(ShapeQueue.BY_HEAD);

    ClassQueue(WorkspaceRow workspace, JobClass jobClass) {
        this.jobClass = jobClass;
        this.workspace = workspace;
    }

    /** The demand of each task and how many tasks must start at once. */
    private record Shape(Resources demand, int atOnce) {
        static Shape of(JobRow job) {
            return new Shape(job.spec.demand(), job.gang() ? job.spec.kind().tasks() : 1);
        }
    }

    /** Adds a job with a task to start; a lower key comes first. */
    void add(JobRow job, long key) {
        if (job.queued) {
            return;
        }
        job.queued = true;
        ShapeQueue queue =
                shapes.computeIfAbsent(Shape.of(job), shape -> new ShapeQueue(this, shape.demand(), shape.atOnce()));
        if (queue.blocked()) {
            queue.add(job, key);
            return;
        }
        ready.remove(queue);
        queue.add(job, key);
        insert(queue);
    }

    /** Removes a queue that has become blocked from the ready queues. */
    void block(ShapeQueue shape) {
        ready.remove(shape);
    }

    /** Returns the ready queue whose first job comes first, or null if there is none. */
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

    /** Moves a queue to its new position after its first job has changed. */
    void reorder(ShapeQueue shape) {
        ready.remove(shape);
        insert(shape);
    }

    /** Returns a blocked queue to the ready queues. */
    void unblock(ShapeQueue shape) {
        shape.group.remove(shape);
        insert(shape);
    }

    /** Unblocks the queue of a job if it is blocked. */
    void unblockQueueOf(JobRow job) {
        ShapeQueue shape = shapes.get(Shape.of(job));
        if (shape != null && shape.blocked()) {
            unblock(shape);
        }
    }

    /** Unblocks the queue of a job that can no longer start, if that job is first in the queue. */
    void unblockIfFirst(JobRow job) {
        ShapeQueue shape = shapes.get(Shape.of(job));
        if (shape != null && shape.blocked() && shape.startsWith(job)) {
            unblock(shape);
        }
    }

    private void insert(ShapeQueue shape) {
        if (shape.head() == null) {
            shapes.remove(new Shape(shape.demand, shape.atOnce), shape);
            return;
        }
        shape.refreshOrder();
        ready.add(shape);
    }
}
