package org.acaciafold.entry;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;

/** Measures how long jobs wait for their first start and for their end, from the states that a leader publishes. */
final class JobLatencyRecorder {
    private final HostMetrics metrics;
    private final Map<String, Open> open = new HashMap<>();

    JobLatencyRecorder(HostMetrics metrics) {
        this.metrics = metrics;
    }

    void accepted(Job job) {
        if (!job.recurring()) {
            open.putIfAbsent(job.id(), new Open(job.route().name(), job.acceptedAtMs(), false));
        }
    }

    void published(Map<String, JobState> states, long wallMs) {
        states.forEach((id, state) -> {
            Open job = open.get(id);
            if (job == null) {
                return;
            }
            if (!job.started && state == JobState.RUNNING) {
                metrics.started(job.queue, wallMs - job.acceptedAtMs);
                open.put(id, new Open(job.queue, job.acceptedAtMs, true));
            } else if (state.ended()) {
                metrics.ended(job.queue, state.name(), wallMs - job.acceptedAtMs);
                open.remove(id);
            }
        });
    }

    private record Open(String queue, long acceptedAtMs, boolean started) {}
}
