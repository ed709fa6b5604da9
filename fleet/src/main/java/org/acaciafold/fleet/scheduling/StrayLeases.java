package org.acaciafold.fleet.scheduling;

/**
 * The leases that calls meant for earlier incarnations of a worker may have granted to the present one, or may still grant.
 *
 * <p>Such a call extends the lease to the time that it carries, at most by the longest lease that workers accept. That time
 * is one on the clock of whichever incarnation executes the call, so the lease has ended once this clock shows the latest
 * time that any of these calls carries. It is short where the earlier incarnations were young.
 */
final class StrayLeases {
    /** When those have expired that the predecessor's calls have granted; negative when there are none. */
    private long predecessorsEndAtMs = -1;
    /** When those have expired that this leader's calls have granted, or may still grant; negative when there are none. */
    private long ownEndAtMs = -1;

    /** The latest time that this leader's calls to incarnations carry that have ended. */
    private long latestUntilMs;

    /** False from a clock that has started anew until the report of the incarnation that it belongs to. */
    private boolean incarnationKnown = true;

    /** Counts leases that the predecessor may have granted. */
    void ofPredecessorUntil(long endAtMs) {
        predecessorsEndAtMs = Math.max(predecessorsEndAtMs, endAtMs);
    }

    /** Counts leases that this leader may have granted to an incarnation that has not reported yet. */
    void ofUnknownIncarnationUntil(long endAtMs) {
        ownEndAtMs = Math.max(ownEndAtMs, endAtMs);
        incarnationKnown = false;
    }

    /**
     * Counts leases that this leader may have granted to the incarnation that reports now.
     *
     * @param endAtMs when they have expired, by when the calls are executed
     * @param untilMs the latest time that a call to the former incarnation carries
     */
    void ofNextIncarnationUntil(long endAtMs, long untilMs) {
        ownEndAtMs = Math.max(ownEndAtMs, endAtMs);
        latestUntilMs = Math.max(latestUntilMs, untilMs);
        incarnationKnown = true;
    }

    /** Bounds the leases that this leader may have granted. */
    void endAtTheLatest(long endAtMs) {
        ownEndAtMs = Math.min(ownEndAtMs, endAtMs);
    }

    /**
     * Returns when these leases have expired.
     *
     * @param worker the worker, which tells when its clock shows a time
     * @return the time on the clock of this host; negative when there are none
     */
    long endAtMs(WorkerRow worker) {
        boolean clockKnown = incarnationKnown && worker.lastContactAtMs >= 0;
        long ownMs = clockKnown ? Math.min(ownEndAtMs, worker.showsAtMs(latestUntilMs)) : ownEndAtMs;
        return Math.max(predecessorsEndAtMs, ownMs);
    }
}
