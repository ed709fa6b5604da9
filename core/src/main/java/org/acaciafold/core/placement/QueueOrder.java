package org.acaciafold.core.placement;

import org.acaciafold.core.model.JobKind;

/** Computes the order of the jobs of one workspace and class. */
final class QueueOrder {
    private static final double SLOW_QUANTILE = 0.9;

    private QueueOrder() {}

    /** Returns the key of a job in milliseconds; a lower key comes first. */
    static long key(JobRow job, RunTimes runTimes) {
        if (job.spec.kind() instanceof JobKind.Batch batch
                && batch.finishWithinMs().isPresent()) {
            return batchKey(job, runTimes, batch.finishWithinMs().getAsLong());
        }
        return job.submittedMs;
    }

    /** Returns the latest start time at which the job is expected to meet its deadline. */
    private static long batchKey(JobRow job, RunTimes runTimes, long finishWithinMs) {
        return switch (job.workspace.quota.batch()) {
            case BatchPolicy.SubmissionOrder order -> job.submittedMs;
            case BatchPolicy.DeadlineOrder order ->
                job.submittedMs
                        + finishWithinMs
                        - (long) (order.safety() * runTimes.expectedMs(job.spec, SLOW_QUANTILE));
        };
    }
}
