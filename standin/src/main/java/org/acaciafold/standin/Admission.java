package org.acaciafold.standin;

import org.acaciafold.core.model.Failure;

/** Decision of a worker on a live request. */
public sealed interface Admission {
    /**
     * The request runs; the caller must call {@link WorkerAgent#end} when it ends.
     *
     * @param number the number of the request on this worker
     * @param payload the payload of the replica's job
     */
    record Admitted(long number, String payload) implements Admission {}

    /**
     * The request does not run.
     *
     * @param failure the reason
     */
    record Rejected(Failure failure) implements Admission {}
}
