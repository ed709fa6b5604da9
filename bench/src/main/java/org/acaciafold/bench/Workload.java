package org.acaciafold.bench;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.WorkerSpec;

/**
 * The workers, jobs and faults of a replay.
 *
 * @param name the name
 * @param durationMs the duration in milliseconds
 * @param tickMs the time between ticks in milliseconds
 * @param domains the workers of each failure domain
 * @param weights the weight of each workspace
 * @param arrivals the jobs in the order of their submission
 * @param failingWorkers the workers on which every task fails
 * @param drainWindow the time window from draining and closing the first domain to reopening it
 * @param cancelAtMs the time at which the jobs in {@code cancelled} are cancelled
 * @param cancelled the jobs that are cancelled together
 */
record Workload(
        String name,
        long durationMs,
        long tickMs,
        List<List<WorkerSpec>> domains,
        Map<WorkspaceId, Double> weights,
        List<Arrival> arrivals,
        Set<WorkerId> failingWorkers,
        Window drainWindow,
        long cancelAtMs,
        Set<JobSpec> cancelled) {

    /**
     * A job that is submitted.
     *
     * @param atMs the time of submission
     * @param spec the job as declared
     * @param runMs the actual run time of each task, in milliseconds
     * @param neverSucceeds whether every task fails or fits on no worker
     */
    record Arrival(long atMs, JobSpec spec, long runMs, boolean neverSucceeds) {}

    /**
     * A time window.
     *
     * @param fromMs the start
     * @param toMs the end
     */
    record Window(long fromMs, long toMs) {
        long overlap(long startMs, long endMs) {
            return Math.max(0, Math.min(toMs, endMs) - Math.max(fromMs, startMs));
        }
    }
}
