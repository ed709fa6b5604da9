package org.acaciafold.core.request;

/**
 * The health of one replica.
 *
 * <p>An unhealthy replica is ejected for a time that doubles with each ejection, up to a limit, then probed with one
 * request at a time.
 */
final class ReplicaHealth {
    private static final int FAILURES_TO_EJECT = 3;
    private static final int MIN_LATENCY_SAMPLES = 5;
    private static final int SUCCESSES_TO_RESET = 10;
    private static final int SLOW_FACTOR = 4;
    private static final long MIN_SLOW_MS = 50;
    private static final long FIRST_EJECTION_MS = 1_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final double SMOOTHING = 0.3;

    private double latencyMs;
    private int samples;
    private int failures;
    private int successes;
    private int ejections;
    private long ejectedUntilMs;
    private boolean ejected;
    private boolean probeInFlight;

    /** Returns whether a request may be sent: none while ejected, and one at a time while probed. */
    boolean available(long nowMs) {
        return !ejected || nowMs >= ejectedUntilMs && !probeInFlight;
    }

    /** Returns whether the replica should be ejected, given the median latency of its peers. */
    boolean shouldEject(double peerLatencyMs) {
        boolean slow = samples >= MIN_LATENCY_SAMPLES
                && peerLatencyMs > 0
                && latencyMs > Math.max(MIN_SLOW_MS, SLOW_FACTOR * peerLatencyMs);
        return failures >= FAILURES_TO_EJECT || slow;
    }

    void eject(long nowMs) {
        ejected = true;
        probeInFlight = false;
        ejectedUntilMs = nowMs + (FIRST_EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        resetSamples();
    }

    boolean ejected() {
        return ejected;
    }

    /** Records the outcome of a request. */
    void record(SlotOutcome outcome, long nowMs) {
        boolean wasProbe = probeInFlight;
        probeInFlight = false;
        latencyMs = samples == 0 ? outcome.tookMs() : latencyMs + SMOOTHING * (outcome.tookMs() - latencyMs);
        samples++;
        failures = outcome.succeeded() ? 0 : failures + 1;
        successes = outcome.succeeded() ? successes + 1 : 0;
        if (successes >= SUCCESSES_TO_RESET) {
            ejections = 0;
        }
        if (!ejected || !wasProbe) {
            return;
        }
        if (outcome.succeeded()) {
            ejected = false;
            resetSamples();
        } else {
            eject(nowMs);
        }
    }

    int samples() {
        return samples;
    }

    void requestSent() {
        probeInFlight = ejected;
    }

    double latencyMs() {
        return latencyMs;
    }

    private void resetSamples() {
        samples = 0;
        failures = 0;
        successes = 0;
    }
}
