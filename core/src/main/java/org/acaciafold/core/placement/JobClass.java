package org.acaciafold.core.placement;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Priority;

/** The classes of jobs in the order in which they start. */
enum JobClass {
    /** Jobs of urgent priority. */
    URGENT,
    /** Services, whose replicas serve live requests. */
    SERVICE,
    /** Gang jobs, whose tasks start together or not at all. */
    GANG,
    /** Batch jobs with a deadline. */
    DEADLINE,
    /** Batch jobs without a deadline. */
    BATCH,
    /** Jobs of low priority. */
    LOW;

    /** Returns the class of a job. */
    static JobClass of(JobSpec spec) {
        if (spec.priority() == Priority.URGENT) {
            return URGENT;
        }
        if (spec.priority() == Priority.LOW) {
            return LOW;
        }
        return switch (spec.kind()) {
            case JobKind.Service service -> SERVICE;
            case JobKind.Gang gang -> GANG;
            case JobKind.Batch batch -> batch.finishWithinMs().isPresent() ? DEADLINE : BATCH;
        };
    }
}
