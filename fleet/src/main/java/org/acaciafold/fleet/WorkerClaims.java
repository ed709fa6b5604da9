package org.acaciafold.fleet;

import java.util.List;

/**
 * The durable record of what may run on a worker; it is written before an order to start is sent.
 *
 * @param id the worker's identifier
 * @param address where its agent listens
 * @param bornMs when that life of it began, in milliseconds since 1970, 0 when unknown
 * @param claims the runs that may be there; runs that have ended meanwhile may be among them
 */
public record WorkerClaims(String id, String address, long bornMs, List<Claim> claims) {
    /** Copies the claims. */
    public WorkerClaims {
        claims = List.copyOf(claims);
    }

    /**
     * A run that may be on a worker.
     *
     * @param task the task
     * @param run the number of the run
     */
    public record Claim(TaskName task, int run) {}
}
