package org.acaciafold.core.model;

import java.util.OptionalLong;

/** What shape of work a job is. */
public sealed interface JobKind {
    /**
     * Returns how many tasks the job has.
     *
     * @return the number of tasks, at least 1
     */
    int tasks();

    /**
     * A service: replicas that run until the job is cancelled and that answer live requests.
     *
     * @param tasks the number of replicas
     */
    record Service(int tasks) implements JobKind {}

    /**
     * A batch run: tasks that end by themselves, independent of each other.
     *
     * @param tasks the number of tasks
     * @param finishWithinMs milliseconds after submission before which all tasks should have ended
     */
    record Batch(int tasks, OptionalLong finishWithinMs) implements JobKind {}

    /**
     * An all-at-once job: all tasks start together or none does.
     *
     * @param tasks the number of tasks
     */
    record Gang(int tasks) implements JobKind {}
}
