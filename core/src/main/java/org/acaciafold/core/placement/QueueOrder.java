package org.acaciafold.core.placement;

import org.acaciafold.core.model.JobKind;

/** The order of the jobs of one team and class. */
final class QueueOrder {
    private QueueOrder() {}

    /** Returns the key of a job in milliseconds; a lower key comes first. */
    static long key(JobRow job) {
        if (job.spec.kind() instanceof JobKind.Batch batch
                && batch.finishWithinMs().isPresent()) {
            return batchKey(job, batch.finishWithinMs().getAsLong());
        }
        return job.submittedMs;
    }

    /** The latest time of start at which the job is expected to end in time. */
    private static long batchKey(JobRow job, long finishWithinMs) {
        return switch (job.team.terms.batch()) {
            case BatchPolicy.SubmissionOrder order -> job.submittedMs;
            case BatchPolicy.DeadlineOrder order ->
                job.submittedMs + finishWithinMs - (long) (order.safety() * job.spec.runTimeMs());
        };
    }
}
