package org.acaciafold.core.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.acaciafold.core.model.Resources;

/**
 * The jobs of one workspace and class with the same demand per task and the same number of tasks that start at once;
 * all of them are blocked when one does not fit.
 */
final class ShapeQueue {
    /** Orders queues by their first jobs. */
    static final Comparator<ShapeQueue> BY_HEAD =
            Comparator.<ShapeQueue>comparingLong(queue -> queue.headKey).thenComparingLong(queue -> queue.headSequence);

    private static final Comparator<Entry> BY_KEY =
            Comparator.<Entry>comparingLong(Entry::key).thenComparingLong(entry -> entry.job.sequence);

    final ClassQueue parent;
    final Resources demand;
    final int atOnce;
    /** The group with which the queue is blocked; null if it is ready. */
    BlockedGroup group;
    /** Its position in the order of starts among the queues of its group; the lowest comes first. */
    double startPosition;
    /** Whether a timer will retry the queue. */
    boolean retryScheduled;
    /** The time in milliseconds before which no capacity is preempted for the queue again. */
    long preemptAtMs;

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(BY_KEY);
    private long headKey;
    private long headSequence;

    ShapeQueue(ClassQueue parent, Resources demand, int atOnce) {
        this.atOnce = atOnce;
        this.parent = parent;
        this.demand = demand;
    }

    private record Entry(JobRow job, long key) {}

    /** Returns whether the queue waits for capacity or for allotment, outside the ready queues of its parent. */
    boolean blocked() {
        return group != null;
    }

    void add(JobRow job, long key) {
        entries.add(new Entry(job, key));
    }

    /** Returns the first job that has a task to start, or null if there is none; removes the jobs before it. */
    JobRow head() {
        while (!entries.isEmpty()) {
            JobRow job = entries.peek().job();
            if (job.schedulable() && job.hasReadyTask()) {
                return job;
            }
            entries.poll();
            job.queued = false;
        }
        return null;
    }

    boolean startsWith(JobRow job) {
        return !entries.isEmpty() && entries.peek().job() == job;
    }

    /** Returns whether the first job has changed since the order was last refreshed. */
    boolean orderChanged() {
        Entry first = entries.peek();
        return first == null || first.job().sequence != headSequence;
    }

    /** Refreshes the sort key from the first job; must be called only while the queue is in no ordered set. */
    void refreshOrder() {
        Entry first = entries.peek();
        headKey = first == null ? Long.MAX_VALUE : first.key();
        headSequence = first == null ? Long.MAX_VALUE : first.job().sequence;
    }
}
