package org.acaciafold.standin;

import org.acaciafold.core.model.Failure;

/** Whether a worker runs a live request. */
public sealed interface Admission {
    /**
     * It runs; {@link WorkerAgent#end} must follow.
     *
     * @param number the number of the request at this worker
     * @param payload the payload of the replica's job
     */
    record Admitted(long number, String payload) implements Admission {}

    /**
     * It does not run.
     *
     * @param failure why
     */
    record Rejected(Failure failure) implements Admission {}
}
