package org.acaciafold.entry;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;

/** Records the time from a job's acceptance to its first start and to its end, as seen by the leader. */
final class JobLatencyRecorder {
    private final HostMetrics metrics;
    private final Map<String, OpenJob> openJobs = new HashMap<>();

    JobLatencyRecorder(HostMetrics metrics) {
        this.metrics = metrics;
    }

    void accepted(Job job) {
        if (!job.recurring()) {
            openJobs.putIfAbsent(job.id(), new OpenJob(job.route().name(), job.acceptedAtMs(), false));
        }
    }

    void recordStates(Map<String, JobState> states, long wallMs) {
        states.forEach((id, state) -> {
            OpenJob job = openJobs.get(id);
            if (job == null) {
                return;
            }
            if (!job.started && state == JobState.RUNNING) {
                metrics.started(job.queue, wallMs - job.acceptedAtMs);
                openJobs.put(id, new OpenJob(job.queue, job.acceptedAtMs, true));
            } else if (state.ended()) {
                metrics.ended(job.queue, state.name(), wallMs - job.acceptedAtMs);
                openJobs.remove(id);
            }
        });
    }

    private record OpenJob(String queue, long acceptedAtMs, boolean started) {}
}
