package org.acaciafold.fleet;

import java.util.List;

/**
 * A worker's answer to a renewal of its lease.
 *
 * @param clockMs the worker's steady clock, milliseconds
 * @param incarnation when this life of the worker began, in milliseconds since 1970, 0 when it did not say
 * @param running what runs there
 * @param ends the ends that are not acknowledged yet, oldest first
 */
public record WorkerReport(long clockMs, long incarnation, List<ReportedRun> running, List<RunEnd> ends) {
    /** Copies the lists. */
    public WorkerReport {
        running = List.copyOf(running);
        ends = List.copyOf(ends);
    }
}
