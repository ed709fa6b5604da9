package org.acaciafold.fleet.leadership;

/**
 * Tells a leader whether its lease still holds.
 *
 * <p>The lease counts from before the last confirmed renewal was sent. A suspended machine's steady clock stands still
 * while others wait for the lease to end, so the time of day has to agree:
 *
 * <pre>{@code
 * LeaseClock lease = LeaseClock.of(3_000);
 * lease.confirmed(sentAtMs, sentAtWallMs);
 * boolean mayCommand = lease.valid(nowMs, wallMs);
 * }</pre>
 */
public final class LeaseClock {
    private final long leaseMs;
    private long sentAtMs;
    private long sentAtWallMs;
    private boolean held;

    private LeaseClock(long leaseMs) {
        this.leaseMs = leaseMs;
    }

    /**
     * Creates the clock of a lease that is not held yet.
     *
     * @param leaseMs the length of the lease in milliseconds
     * @return the clock
     */
    public static LeaseClock of(long leaseMs) {
        return new LeaseClock(leaseMs);
    }

    /**
     * Notes a confirmed renewal.
     *
     * @param sentMs when it was sent, on the steady clock
     * @param sentWallMs when it was sent, by the time of day
     */
    public void confirmed(long sentMs, long sentWallMs) {
        held = true;
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
