package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The durable record of the runs that may be on a worker; it is written before an order to start is sent.
 *
 * @param id the worker's identifier
 * @param address the address of the worker's agent
 * @param bornMs the incarnation of the worker: its start time in milliseconds since 1970; 0 when unknown
 * @param claims the runs that may be on the worker; may include runs that have ended since
 * @param silence when its leases have expired, while the leader grants none; empty while it may grant some
 * @param strayLeaseEndsMs when the leases have expired, on the store's clock, that calls meant for an earlier incarnation
 *     may have granted; 0 when there are none
 * @param shortLeases since when the leader grants it short leases only; empty while it may grant longer ones
 * @param listed how many of the claims, from the first one on, are of runs that this incarnation has listed: they end with it,
 *     as no order to start them is under way
 */
public record WorkerClaims(
        String id,
        String address,
        long bornMs,
        List<Claim> claims,
        Optional<Silence> silence,
        long strayLeaseEndsMs,
        Optional<ShortLeases> shortLeases,
        int listed) {
    /** The most runs that may be on a worker, so that their record fits in a row of the store. */
    public static final int MAX_CLAIMS = 2_500;

    /** Rejects missing components and copies the list of claims. */
    public WorkerClaims {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
        claims = List.copyOf(claims);
        // rows of earlier releases lack it
        silence = silence == null ? Optional.empty() : silence;
        shortLeases = shortLeases == null ? Optional.empty() : shortLeases;
        listed = Math.clamp(listed, 0, claims.size());
    }

    /**
     * Creates the record of a worker to which the leader may grant leases of any length.
     *
     * @param id the worker's identifier
     * @param address the address of the worker's agent
     * @param bornMs the incarnation of the worker; 0 when unknown
     * @param claims the runs that may be on the worker
     * @param silence when its leases have expired, while the leader grants none
     * @param strayLeaseEndsMs when the leases of calls for an earlier incarnation have expired; 0 for none
     */
    public WorkerClaims(
            String id,
            String address,
            long bornMs,
            List<Claim> claims,
            Optional<Silence> silence,
            long strayLeaseEndsMs) {
        this(id, address, bornMs, claims, silence, strayLeaseEndsMs, Optional.empty(), 0);
    }

    /**
     * Creates the record of a worker to which the leader may grant leases.
     *
     * @param id the worker's identifier
     * @param address the address of the worker's agent
     * @param bornMs the incarnation of the worker; 0 when unknown
     * @param claims the runs that may be on the worker
     */
    public WorkerClaims(String id, String address, long bornMs, List<Claim> claims) {
        this(id, address, bornMs, claims, Optional.empty(), 0);
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

    /**
     * The silence of a worker, to which its leader grants no lease before the record says so.
     *
     * @param epoch the term of that leader; a leader of an earlier release, which may have led since, knows no silences
     * @param leaseEndsMs when all leases of the worker have expired, on the store's clock
     */
    public record Silence(long epoch, long leaseEndsMs) {}

    /**
     * The lease lengths of a worker with tasks that last, to which its leader grants no longer lease before the record says
     * so.
     *
     * @param epoch the term of that leader
     * @param sinceMs from when on it has granted short leases only, on the store's clock
     */
    public record ShortLeases(long epoch, long sinceMs) {}
}
