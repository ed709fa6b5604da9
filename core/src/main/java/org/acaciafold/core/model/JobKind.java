package org.acaciafold.core.model;

import java.util.OptionalLong;

/** The kind of a job, which defines how its tasks start and end. */
public sealed interface JobKind {
    /**
     * Returns the number of tasks of the job.
     *
     * @return the number of tasks, at least 1
     */
    int tasks();

    /**
     * A service whose replicas answer live requests and run until the job is cancelled.
     *
     * @param tasks the number of replicas
     */
    record Service(int tasks) implements JobKind {}

    /**
     * A batch job whose tasks are independent of each other and run to completion.
     *
     * @param tasks the number of tasks
     * @param finishWithinMs the deadline for all tasks to end, in milliseconds after submission
     */
    record Batch(int tasks, OptionalLong finishWithinMs) implements JobKind {}

    /**
     * A gang: all tasks start together or none does.
     *
     * @param tasks the number of tasks
     */
    record Gang(int tasks) implements JobKind {}
}
