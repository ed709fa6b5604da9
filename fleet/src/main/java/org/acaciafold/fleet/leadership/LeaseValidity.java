package org.acaciafold.fleet.leadership;

/**
 * Tells a leader whether its lease still holds.
 *
 * <p>The lease counts from before the last confirmed renewal was sent. A suspended machine's steady clock stands still
 * while others wait for the lease to end, so the time of day has to agree:
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
     * Creates the clock of a lease that is not held yet.
     *
     * @return the clock
     */
    public static LeaseValidity create() {
        return new LeaseValidity();
    }

    /**
     * Notes a confirmed renewal.
     *
     * @param sentMs when it was sent, on the steady clock
     * @param sentWallMs when it was sent, by the time of day
     * @param lengthMs for how long the lease was renewed, in milliseconds
     */
    public void confirmed(long sentMs, long sentWallMs, long lengthMs) {
        held = true;
        leaseMs = lengthMs;
        sentAtMs = sentMs;
        sentAtWallMs = sentWallMs;
    }

    /** Notes that the lease was given up or lost. */
    public void lost() {
        held = false;
    }

    /**
     * Tells whether the lease holds.
     *
     * @param nowMs the steady clock
     * @param wallMs the time of day
     * @return true while commands may be sent
     */
    public boolean valid(long nowMs, long wallMs) {
        return held && nowMs - sentAtMs < leaseMs && wallMs - sentAtWallMs < leaseMs;
    }
}
