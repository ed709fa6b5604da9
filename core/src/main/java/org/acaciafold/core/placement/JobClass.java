package org.acaciafold.core.placement;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Priority;

/** The classes of jobs in the order in which they start. */
enum JobClass {
    /** Jobs of the priority urgent. */
    URGENT,
    /** Services, whose replicas answer live requests. */
    SERVICE,
    /** All-at-once jobs. */
    GANG,
    /** Batch runs with a time before which they should have ended. */
    DEADLINE,
    /** Batch runs without such a time. */
    BATCH,
    /** Jobs of the priority low. */
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
