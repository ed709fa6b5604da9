package org.acaciafold.core.placement;

/** The order in which the batch jobs of a workspace start. */
public sealed interface BatchPolicy {
    /**
     * Starts jobs in the order of their submission.
     */
    record SubmissionOrder() implements BatchPolicy {}

    /**
     * Starts the job with the least slack first.
     *
     * @param safety the factor on the estimated run time, at least 1
     */
    record DeadlineOrder(double safety) implements BatchPolicy {}
}
