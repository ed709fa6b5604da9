package org.acaciafold.fleet.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.JobState;

/**
 * Replaces the records of ended jobs by short ones, and removes those after the time for which states are told.
 *
 * <p>A new leader reads the records of all jobs before it can start anything, so that time depends on their size.
 */
final class RetireSystem {
    /** Records are replaced in groups; between two groups a new leader reads some more whole jobs. */
    static final long PERIOD_MS = 2_000;

    /** Final states are told for five times the two minutes that the contract promises. */
    static final long RETAIN_MS = 600_000;

    /** Bounds the work of one tick and the size of its transactions. */
    private static final int MAX_JOBS = 300;

    /** Records that are not replaced within this time are tried again. */
    private static final long RETRY_AFTER_MS = 10_000;

    private final Tables tables;
    private long nextAtMs = Long.MIN_VALUE;

    RetireSystem(Tables tables) {
        this.tables = tables;
    }

    void run(List<Effect> effects) {
        if (tables.nowMs < nextAtMs) {
            return;
        }
        nextAtMs = tables.nowMs + PERIOD_MS;
        collect();
        Map<String, EndedJob> jobs = new LinkedHashMap<>();
        tables.awaitingRetirement.entrySet().stream()
                .limit(MAX_JOBS)
                .forEach(entry -> jobs.put(entry.getKey(), entry.getValue()));
        Map<String, EndedJob> expired = expired();
        if (!jobs.isEmpty() || !expired.isEmpty()) {
            nextAtMs = tables.nowMs + RETRY_AFTER_MS;
            effects.add(new Effect.Retire(jobs, expired));
        }
    }

    /** Notes that the records of some jobs have been replaced. */
    void retired(Set<String> ids) {
        nextAtMs = Math.min(nextAtMs, tables.nowMs + PERIOD_MS);
        for (String id : ids) {
            EndedJob ended = tables.awaitingRetirement.remove(id);
            if (ended != null) {
                JobRow job = tables.jobs.remove(id);
                tables.active.remove(job);
                tables.endedJobs.put(id, ended);
                if (job == null || job.progressRecorded) {
                    tables.obsoleteProgress.add(id);
                }
            }
        }
    }

    /** Notes that the records of some jobs have been removed. */
    void removed(Set<String> ids) {
        nextAtMs = Math.min(nextAtMs, tables.nowMs + PERIOD_MS);
        ids.forEach(tables.endedJobs::remove);
    }

    private void collect() {
        for (JobRow job : tables.jobs.values()) {
            boolean ended = job.cancelled || job.endRecorded;
            if (ended && !job.unsaved && job.hasNoRuns()) {
                JobState state = job.cancelled ? JobState.CANCELLED : job.state;
                tables.awaitingRetirement.putIfAbsent(job.job.id(), new EndedJob(state, tables.wallMs));
            }
        }
    }

    private Map<String, EndedJob> expired() {
        Map<String, EndedJob> expired = new LinkedHashMap<>();
        for (Map.Entry<String, EndedJob> entry : tables.endedJobs.entrySet()) {
            boolean pastRetention = tables.wallMs - entry.getValue().endedAtMs() > RETAIN_MS;
            if (pastRetention && expired.size() < MAX_JOBS && !tables.awaitingRetirement.containsKey(entry.getKey())) {
                expired.put(entry.getKey(), entry.getValue());
            }
        }
        return expired;
    }
}
