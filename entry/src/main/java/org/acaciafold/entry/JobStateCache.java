package org.acaciafold.entry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;

/** The newest known state of each job on a host. */
final class JobStateCache {
    /** How long final states are kept, a little longer than the leader keeps them. */
    private static final long RETAIN_MS = 660_000;

    private final LongSupplier clock;
    private final Map<String, JobState> states = new HashMap<>();
    /** Times at which the final states were received, oldest first. */
    private final Map<String, Long> endedAtMs = new LinkedHashMap<>();

    private final Map<String, Job> unacknowledged = new LinkedHashMap<>();

    /** Creates a cache on a monotonic clock in milliseconds. */
    JobStateCache(LongSupplier clock) {
        this.clock = clock;
    }

    /** Adds a job that this host has accepted and the leader has not acknowledged yet. */
    void accepted(Job job) {
        if (states.putIfAbsent(job.id(), JobState.QUEUED) == null) {
            unacknowledged.put(job.id(), job);
        }
    }

    /** Updates states; a final state is never replaced. */
    void update(Map<String, JobState> changes) {
        changes.forEach((id, state) -> {
            unacknowledged.remove(id);
            JobState newest = states.merge(id, state, (old, next) -> old.ended() ? old : next);
            if (newest.ended()) {
                endedAtMs.putIfAbsent(id, clock.getAsLong());
            }
        });
    }

    /** Removes jobs that ended long ago. */
    void evictExpired() {
        Iterator<Map.Entry<String, Long>> oldest = endedAtMs.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Long> entry = oldest.next();
            if (clock.getAsLong() - entry.getValue() <= RETAIN_MS) {
                return;
            }
            oldest.remove();
            states.remove(entry.getKey());
        }
    }

    void update(String id, JobState state) {
        update(Map.of(id, state));
    }

    int size() {
        return states.size();
    }

    Optional<JobState> state(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Returns how many accepted jobs of a queue the leader has not acknowledged yet. */
    int unacknowledged(String route) {
        int count = 0;
        for (Job job : unacknowledged.values()) {
            count += job.route().name().equals(route) ? 1 : 0;
        }
        return count;
    }
}
