package org.acaciafold.fleet.scheduling;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.JobState;

/**
 * Replaces the full records of ended jobs with summaries, and removes the summaries after the retention time.
 *
 * <p>A new leader reads the records of all jobs before it can start tasks, so its startup time depends on their size.
 */
final class RetireSystem {
    /** Interval between batches; a new leader reads the full records of jobs that ended since the last batch. */
    static final long PERIOD_MS = 2_000;

    /** Final states are retained for five times the two minutes that the contract with clients promises. */
    static final long RETAIN_MS = 600_000;

    /** How long after a cancellation a job may still be created that it cancels, far longer than any write is under way. */
    static final long UNMATCHED_RETAIN_MS = 120_000;

    /** Limits the work of one tick and the size of its transactions. */
    private static final int MAX_JOBS = 300;

    /** Replacements and removals that are not confirmed within this time are retried. */
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
        Set<String> cancellations = expiredCancellations();
        if (!jobs.isEmpty() || !expired.isEmpty() || !cancellations.isEmpty()) {
            nextAtMs = tables.nowMs + RETRY_AFTER_MS;
            effects.add(new Effect.Retire(jobs, expired, cancellations));
        }
    }

    /** Applies the confirmation that the records of some jobs have been replaced. */
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

    /** Applies the confirmation that the records of some jobs and cancellations have been removed. */
    void removed(Set<String> ids, Set<String> cancellations) {
        nextAtMs = Math.min(nextAtMs, tables.nowMs + PERIOD_MS);
        ids.forEach(tables.endedJobs::remove);
        cancellations.forEach(tables.unmatchedCancellations::remove);
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

    private Set<String> expiredCancellations() {
        Set<String> expired = new LinkedHashSet<>();
        for (Map.Entry<String, Long> entry : tables.unmatchedCancellations.entrySet()) {
            if (expired.size() < MAX_JOBS && tables.wallMs - entry.getValue() > UNMATCHED_RETAIN_MS) {
                expired.add(entry.getKey());
            }
        }
        return expired;
    }
}
