package org.acaciafold.fleet.leadership;

/**
 * Determines whether a leader's own lease is still valid.
 *
 * <p>The lease counts from a time before the last confirmed renewal was sent. The monotonic clock of a suspended
 * machine stops while other hosts wait for the lease to expire, so the lease must be valid by the wall clock as well:
 *
 * <pre>{@code
 * LeaseValidity lease = LeaseValidity.create();
 * lease.confirmed(sentAtMs, sentAtWallMs, 3_000);
 * boolean mayCommand = lease.valid(nowMs, wallMs);
 * }</pre>
 */
public final class LeaseValidity {
    private long leaseMs;
    private long sentAtMs;
    private long sentAtWallMs;
    private boolean held;

    private LeaseValidity() {}

    /**
     * Creates the state of a lease that has not been acquired yet.
     *
     * @return the state
     */
    public static LeaseValidity create() {
        return new LeaseValidity();
    }

    /**
     * Records a confirmed renewal.
     *
     * @param sentMs when the renewal was sent, on the monotonic clock
     * @param sentWallMs when the renewal was sent, on the wall clock
     * @param lengthMs the length of the renewed lease, in milliseconds
     */
    public void confirmed(long sentMs, long sentWallMs, long lengthMs) {
        held = true;
        leaseMs = lengthMs;
        sentAtMs = sentMs;
        sentAtWallMs = sentWallMs;
    }

    /**
     * Returns for how long the lease may stay valid.
     *
     * @param nowMs the monotonic clock, in milliseconds
     * @param wallMs the wall clock, in milliseconds since 1970
     * @return the time in milliseconds, by the clock that has advanced less; 0 when it is not held
     */
    public long remainingMs(long nowMs, long wallMs) {
        long elapsedMs = Math.min(nowMs - sentAtMs, wallMs - sentAtWallMs);
        return held ? Math.clamp(leaseMs - elapsedMs, 0, leaseMs) : 0;
    }

    /** Records that the lease was released or lost. */
    public void lost() {
        held = false;
    }

    /**
     * Returns whether the lease is valid.
     *
     * @param nowMs the monotonic clock, in milliseconds
     * @param wallMs the wall clock, in milliseconds since 1970
     * @return true while the leader may send commands
     */
    public boolean valid(long nowMs, long wallMs) {
        return held && nowMs - sentAtMs < leaseMs && wallMs - sentAtWallMs < leaseMs;
    }
}
