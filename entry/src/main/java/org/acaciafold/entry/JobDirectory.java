package org.acaciafold.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;

/** The jobs that a host knows, with the newest state that it has heard of. */
final class JobDirectory {
    private final Map<String, JobState> states = new HashMap<>();
    private final Map<String, Job> unlisted = new LinkedHashMap<>();

    /** Notes a job that this host has accepted and the leader has not listed yet. */
    void accepted(Job job) {
        if (states.putIfAbsent(job.id(), JobState.QUEUED) == null) {
            unlisted.put(job.id(), job);
        }
    }

    /** Takes newer states; a final state is never replaced. */
    void update(Map<String, JobState> news) {
        news.forEach((id, state) -> {
            unlisted.remove(id);
            states.merge(id, state, (old, next) -> old.ended() ? old : next);
        });
    }

    void update(String id, JobState state) {
        update(Map.of(id, state));
    }

    Optional<JobState> state(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Returns how many accepted jobs of a queue the leader has not listed yet. */
    int unlisted(String route) {
        int count = 0;
        for (Job job : unlisted.values()) {
            count += job.route().name().equals(route) ? 1 : 0;
        }
        return count;
    }
}
