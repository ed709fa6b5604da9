package org.acaciafold.core.placement;

/** Limits the rate of starts after a failure domain reopens; the rate doubles each second. */
final class StartRateRamp {
    private static final long RAMP_MS = 12_000;
    private static final long DOUBLING_MS = 1_000;
    private static final double INITIAL_STARTS_PER_WORKER_AND_SECOND = 0.1;

    private boolean active;
    private long startedMs;
    private long lastMs;
    private double tokens;

    void begin(long nowMs) {
        active = true;
        startedMs = nowMs;
        lastMs = nowMs;
        tokens = 1;
    }

    /** Returns the number of starts that are allowed now. */
    int limit(long nowMs, int workers, int maxStarts) {
        if (!active || nowMs - startedMs >= RAMP_MS) {
            active = false;
            return maxStarts;
        }
        double rate = INITIAL_STARTS_PER_WORKER_AND_SECOND * workers * Math.pow(2, (nowMs - startedMs) / DOUBLING_MS);
        tokens = Math.min(maxStarts, tokens + rate * (nowMs - lastMs) / 1_000);
        lastMs = nowMs;
        return (int) tokens;
    }

    void consume(int starts) {
        tokens -= active ? starts : 0;
    }
}
