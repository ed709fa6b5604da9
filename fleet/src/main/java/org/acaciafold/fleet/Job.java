package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.acaciafold.core.model.Resources;

/**
 * An accepted job.
 *
 * @param id the identifier that the consumer chose
 * @param route the queue and its terms when the job was accepted
 * @param workspace whose job it is, empty on an open queue
 * @param spec what each task is told to run, opaque to the scheduler
 * @param steps the steps of one occurrence
 * @param occurrences how often the steps run; 0 for a job without a timetable
 * @param firstDueMs when the first occurrence is due, in milliseconds since 1970
 * @param everyMs milliseconds between occurrences
 * @param acceptedAtMs when the job was accepted, in milliseconds since 1970 on the accepting host
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
    /** Tasks of a job that become due within a minute; each takes some two hundred bytes of a leader's memory. */
    private static final long MAX_TASKS_PER_MINUTE = 10_000;

    private static final long MINUTE_MS = 60_000;

    /** Checks and copies the parts. */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(spec, "spec");
        steps = List.copyOf(steps);
    }

    /**
     * Returns the longest chain of estimated work through the steps.
     *
     * @return milliseconds
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
     * Returns why the job cannot be scheduled at all, whatever workers there are.
     *
     * <pre>{@code
     * job.fault().ifPresent(reason -> refuse(reason));
     * }</pre>
     *
     * @return the reason in a few words; empty when there is none
     */
    public Optional<String> invalidReason() {
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            int index = i;
            StepSpec step = steps.get(i);
            if (step.count() < 1) {
                return Optional.of("a step without tasks");
            }
            if (step.after().stream().anyMatch(predecessor -> predecessor < 0 || predecessor >= index)) {
                return Optional.of("a step that waits for no earlier step");
            }
            if (!step.each().equals(step.each().max(Resources.empty())) || step.estimateMs() < 0) {
                return Optional.of("a negative amount");
            }
            tasks += step.count();
        }
        if (steps.isEmpty()) {
            return Optional.of("no steps");
        }
        long concurrentOccurrences = Math.min(Math.max(1, occurrences), 1 + MINUTE_MS / Math.max(1, everyMs));
        return tasks * concurrentOccurrences > MAX_TASKS_PER_MINUTE
                ? Optional.of("more than " + MAX_TASKS_PER_MINUTE + " tasks a minute")
                : Optional.empty();
    }

    /**
     * Tells whether the job runs by a timetable.
     *
     * @return true when it has occurrences
     */
    public boolean recurring() {
        return occurrences > 0;
    }
}
