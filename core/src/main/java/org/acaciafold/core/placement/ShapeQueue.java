package org.acaciafold.core.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.acaciafold.core.model.Resources;

/**
 * The jobs of one workspace and class whose tasks demand the same and that start as many tasks at once; all are blocked
 * when one does not fit.
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
    /** The group with which the queue is blocked, null when it may try. */
    BlockedGroup group;
    /** Its place among the queues of its group, the lowest first. */
    double startPosition;
    /** Whether a timer lets the queue try again. */
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

    /** Tells whether the queue waits for room or for allotment, outside the ready queues of its parent. */
    boolean blocked() {
        return group != null;
    }

    void add(JobRow job, long key) {
        entries.add(new Entry(job, key));
    }

    /** Returns the first job that has a task to start, null when there is none; forgets the others before it. */
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

    /** Tells whether the first job is another than when the order was last read. */
    boolean orderChanged() {
        Entry first = entries.peek();
        return first == null || first.job().sequence != headSequence;
    }

    /** Reads the order of the first job again; to be called only while the queue is in no ordered set. */
    void refreshOrder() {
        Entry first = entries.peek();
        headKey = first == null ? Long.MAX_VALUE : first.key();
        headSequence = first == null ? Long.MAX_VALUE : first.job().sequence;
    }
}
