package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;

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
    public long chainMs() {
        long[] until = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < until.length; i++) {
            long from = 0;
            for (int before : steps.get(i).after()) {
                from = before < i ? Math.max(from, until[before]) : from;
            }
            until[i] = from + steps.get(i).estimateMs();
            longest = Math.max(longest, until[i]);
        }
        return longest;
    }

    /**
     * Tells whether the job runs by a timetable.
     *
     * @return true when it has occurrences
     */
    public boolean timed() {
        return occurrences > 0;
    }
}
