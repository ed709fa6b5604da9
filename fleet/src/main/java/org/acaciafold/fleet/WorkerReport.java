package org.acaciafold.fleet;

import java.util.List;

/**
 * A worker's report of its runs, in answer to a lease renewal or a probe.
 *
 * @param clockMs the worker's monotonic clock, in milliseconds
 * @param incarnation the start time of the worker's process, in milliseconds since 1970; 0 when not reported
 * @param running the runs on the worker
 * @param ends the ends of runs that are not acknowledged yet, oldest first
 * @param complete false when the worker may have further ends, which it lists once these are acknowledged
 */
public record WorkerReport(
        long clockMs, long incarnation, List<ReportedRun> running, List<RunEnd> ends, boolean complete) {
    /** Copies the lists. */
    public WorkerReport {
        running = List.copyOf(running);
        ends = List.copyOf(ends);
    }

    /**
     * Creates a report that lists all ends.
     *
     * @param clockMs the worker's monotonic clock, in milliseconds
     * @param incarnation the start time of the worker's process, in milliseconds since 1970; 0 when not reported
     * @param running the runs on the worker
     * @param ends the ends of runs that are not acknowledged yet, oldest first
     */
    public WorkerReport(long clockMs, long incarnation, List<ReportedRun> running, List<RunEnd> ends) {
        this(clockMs, incarnation, running, ends, true);
    }

    /**
     * Returns whether the report lists a run, at work or ended.
     *
     * @param task the task
     * @param run the number of the run
     * @return true when it is listed
     */
    public boolean lists(TaskName task, int run) {
        return running.stream().anyMatch(one -> one.task().equals(task) && one.run() == run)
                || ends.stream().anyMatch(end -> end.task().equals(task) && end.run() == run);
    }
}
