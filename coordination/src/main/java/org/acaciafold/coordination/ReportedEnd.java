package org.acaciafold.coordination;

import org.acaciafold.core.port.TaskEnd;

/** The end of a task on its way from a worker's report to a durable record. */
final class ReportedEnd {
    private final TaskEnd end;
    private boolean applied;
    private boolean failed;
    private boolean durable;

    private ReportedEnd(TaskEnd end) {
        this.end = end;
    }

    static ReportedEnd of(TaskEnd end) {
        return new ReportedEnd(end);
    }

    /** Returns whether the end was passed to placement. */
    boolean applied() {
        return applied;
    }

    /** Records that the end was passed to placement, and whether the task failed permanently by it. */
    void markApplied(boolean failedForGood) {
        applied = true;
        failed = failedForGood;
    }

    /** Returns whether the task failed permanently by this end. */
    boolean failed() {
        return failed;
    }

    /** Returns whether the worker may discard the end. */
    boolean durable() {
        return durable;
    }

    /** Records that the worker need not report the end again. */
    void markDurable() {
        durable = true;
    }

    TaskEnd end() {
        return end;
    }
}
