package org.acaciafold.fleet.scheduling;

/** What the runs on a worker that does not answer wait for before they may start elsewhere. */
enum LeaseBound {
    /** The lease that this leader has granted. */
    GRANTED,
    /** A lease that the predecessor may have granted just before its authority ended. */
    PREDECESSOR,
    /** A lease that a call for an earlier incarnation may have granted to the present one. */
    STRAY;

    /** Returns which of the leases that may have been granted to a worker ends last. */
    static LeaseBound of(WorkerRow worker, long nowMs) {
        long endAtMs = worker.leasesExpiredAtMs(nowMs);
        if (endAtMs == worker.predecessorLeaseEndsAtMs) {
            return PREDECESSOR;
        }
        return endAtMs == worker.strayLeasesEndAtMs() ? STRAY : GRANTED;
    }
}
