package org.acaciafold.bench;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.WorkerSpec;

/**
 * What happens in a replay.
 *
 * @param name its name
 * @param durationMs how long it lasts in milliseconds
 * @param tickMs milliseconds between ticks
 * @param domains the workers of each failure domain
 * @param weights the weight of each workspace
 * @param arrivals the jobs in the order of their submission
 * @param failingWorkers workers that fail everything they start
 * @param drainWindow when the first domain leaves and returns
 * @param cancelAtMs when {@code cancelled} are cancelled
 * @param cancelled the jobs of the cancellation wave
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
     * @param atMs when
     * @param spec the job as declared
     * @param runMs how long each task really runs, in milliseconds
     * @param hopeless whether every task fails or none can ever fit
     */
    record Arrival(long atMs, JobSpec spec, long runMs, boolean neverSucceeds) {}

    /**
     * A span of time.
     *
     * @param fromMs its begin
     * @param toMs its end
     */
    record Window(long fromMs, long toMs) {
        long overlap(long startMs, long endMs) {
            return Math.max(0, Math.min(toMs, endMs) - Math.max(fromMs, startMs));
        }
    }
}
