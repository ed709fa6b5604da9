package org.acaciafold.fleet;

/**
 * What a leader knows of the store's steady clock, on which leaders tell their successors until when leases last.
 *
 * <p>Example: {@code scheduler.storeClock(StoreClock.between(5_000, 5_040));}
 *
 * @param earliestMs the earliest time that the clock may show now, in milliseconds; 0 when unknown
 * @param latestMs the latest time that it may show now; 0 when unknown
 * @param predecessorEndsMs when the authority of the former leader had ended at the latest; 0 when unknown
 */
public record StoreClock(long earliestMs, long latestMs, long predecessorEndsMs) {
    /** Nothing is known. */
    public static final StoreClock UNKNOWN = between(0, 0);

    /**
     * Creates the times for a leader that knows nothing of its predecessor.
     *
     * @param earliestMs the earliest time that the clock may show now; 0 when unknown
     * @param latestMs the latest time that it may show now; 0 when unknown
     * @return the times
     */
    public static StoreClock between(long earliestMs, long latestMs) {
        return new StoreClock(earliestMs, latestMs, 0);
    }

    /**
     * Returns how long the former leader has commanded nothing, at the least.
     *
     * @return the time in milliseconds; 0 when unknown
     */
    public long sincePredecessorMs() {
        boolean known = earliestMs > 0 && predecessorEndsMs > 0;
        return known ? Math.max(0, earliestMs - predecessorEndsMs) : 0;
    }
}
