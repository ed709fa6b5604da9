package org.acaciafold.fleet.scheduling;

/** Estimates the time of day from a wall clock that may be set back and from the monotonic clock. */
final class TimeOfDay {
    /**
     * The share of the elapsed time by which an estimate falls back towards a wall clock that was set back, since that may
     * have corrected a clock that was ahead.
     */
    private static final double CORRECTION_SHARE = 0.1;

    private double estimateMs = Double.NEGATIVE_INFINITY;
    private long updatedAtMs;

    /** Returns the estimate, which is never behind the wall clock and goes on when the wall clock is set back. */
    double update(long nowMs, long wallMs) {
        double continuedMs = estimateMs + (nowMs - updatedAtMs) * (1 - CORRECTION_SHARE);
        estimateMs = Math.max(wallMs, continuedMs);
        updatedAtMs = nowMs;
        return estimateMs;
    }
}
