package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;

/**
 * The durable record of the runs that may be on a worker; it is written before an order to start is sent.
 *
 * @param id the worker's identifier
 * @param address the address of the worker's agent
 * @param bornMs the incarnation of the worker: its start time in milliseconds since 1970; 0 when unknown
 * @param claims the runs that may be on the worker; may include runs that have ended since
 */
public record WorkerClaims(String id, String address, long bornMs, List<Claim> claims) {
    /** The most runs that may be on a worker, so that their record fits in a row of the store. */
    public static final int MAX_CLAIMS = 2_500;

    /** Rejects missing components and copies the list of claims. */
    public WorkerClaims {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
        claims = List.copyOf(claims);
    }

    /**
     * A run that may be on a worker.
     *
     * @param task the task
     * @param run the number of the run
     */
    public record Claim(TaskName task, int run) {
        /** Rejects a missing task. */
        public Claim {
            Objects.requireNonNull(task, "task");
        }
    }
}
