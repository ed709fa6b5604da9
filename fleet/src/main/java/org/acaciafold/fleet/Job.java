package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * An accepted job.
 *
 * @param id the identifier that the client chose
 * @param route the queue, with its settings at the time the job was accepted
 * @param workspace the workspace that the job belongs to; empty on an open queue
 * @param spec the specification of the work of each task, opaque to the scheduler
 * @param steps the steps of one occurrence
 * @param occurrences how often the steps run; 0 for a job that does not recur
 * @param firstDueMs when the first occurrence is due, in milliseconds since 1970
 * @param everyMs the interval between occurrences, in milliseconds
 * @param acceptedAtMs when the job was accepted, in milliseconds since 1970 on the clock of the accepting host
 */
public record Job(
        String id,
        Route route,
        String workspace,
        String spec,
        List<StepSpec> steps,
        int occurrences,
        long firstDueMs,
        long everyMs,
        long acceptedAtMs) {
    /** Limits the tasks of a job that become due within a minute; each uses about 200 bytes of the leader's memory. */
    private static final long MAX_TASKS_PER_MINUTE = 10_000;

    private static final long MINUTE_MS = 60_000;

    /** A year; sums over all steps of a job do not overflow. */
    private static final long MAX_ESTIMATE_MS = 365L * 24 * 60 * MINUTE_MS;

    /** Rejects missing components and copies the steps. */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(spec, "spec");
        steps = List.copyOf(steps);
    }

    /**
     * Returns the estimated duration of the critical path through the steps of one occurrence.
     *
     * @return the duration in milliseconds
     */
    public long criticalPathMs() {
        long[] finishMs = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < finishMs.length; i++) {
            long startMs = 0;
            for (int predecessor : steps.get(i).after()) {
                startMs = predecessor < i ? Math.max(startMs, finishMs[predecessor]) : startMs;
            }
            finishMs[i] = startMs + steps.get(i).estimateMs();
            longest = Math.max(longest, finishMs[i]);
        }
        return longest;
    }

    /**
     * Returns the reason why the job cannot be scheduled on any fleet.
     *
     * <pre>{@code
     * job.invalidReason().ifPresent(reason -> reject(reason));
     * }</pre>
     *
     * @return the reason in a few words; empty when the job is valid
     */
    public Optional<String> invalidReason() {
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            int index = i;
            StepSpec step = steps.get(i);
            if (step.count() < 1) {
                return Optional.of("a step has no tasks");
            }
            if (step.after().stream().anyMatch(predecessor -> predecessor < 0 || predecessor >= index)) {
                return Optional.of("a step depends on a step that does not precede it");
            }
            if (!step.each().inRange() || step.estimateMs() < 0 || step.estimateMs() > MAX_ESTIMATE_MS) {
                return Optional.of("resources or duration estimate out of range");
            }
            tasks += step.count();
        }
        if (steps.isEmpty()) {
            return Optional.of("the job has no steps");
        }
        long occurrencesPerMinute = Math.min(Math.max(1, occurrences), 1 + MINUTE_MS / Math.max(1, everyMs));
        return tasks * occurrencesPerMinute > MAX_TASKS_PER_MINUTE
                ? Optional.of("more than " + MAX_TASKS_PER_MINUTE + " tasks per minute")
                : overdueReason(tasks);
    }

    /**
     * Returns whether the job recurs.
     *
     * @return true when the job has occurrences
     */
    public boolean recurring() {
        return occurrences > 0;
    }

    /** Returns the reason why the job cannot be scheduled if too many occurrences are due when it is accepted. */
    private Optional<String> overdueReason(long tasks) {
        long overdueMs = Math.max(0, acceptedAtMs - Math.max(0, firstDueMs));
        long due = Math.min(Math.max(1, occurrences), 1 + overdueMs / Math.max(1, everyMs));
        return tasks * due > MAX_TASKS_PER_MINUTE
                ? Optional.of("more than " + MAX_TASKS_PER_MINUTE + " tasks due at once")
                : Optional.empty();
    }
}
