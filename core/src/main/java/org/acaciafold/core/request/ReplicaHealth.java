package org.acaciafold.core.request;

/**
 * The health of one replica.
 *
 * <p>An unhealthy replica is ejected for a time that doubles with each ejection, up to a limit, then probed with one
 * request at a time.
 */
final class ReplicaHealth {
    private static final int FAILURES_TO_EJECT = 3;
    private static final int SAMPLES_TO_JUDGE = 5;
    private static final int SUCCESSES_TO_FORGET = 10;
    private static final int SLOW_FACTOR = 4;
    private static final long SLOW_AT_LEAST_MS = 50;
    private static final long FIRST_EJECTION_MS = 1_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final double SMOOTHING = 0.3;

    private double tookMs;
    private int samples;
    private int failures;
    private int successes;
    private int ejections;
    private long ejectedUntilMs;
    private boolean ejected;
    private boolean probing;

    /** Returns whether a request may be sent: none while ejected, and one at a time while probed. */
    boolean available(long nowMs) {
        return !ejected || nowMs >= ejectedUntilMs && !probing;
    }

    /** Returns whether the replica should be ejected, given the median latency of its peers. */
    boolean bad(double peersTookMs) {
        boolean slow = samples >= SAMPLES_TO_JUDGE
                && peersTookMs > 0
                && tookMs > Math.max(SLOW_AT_LEAST_MS, SLOW_FACTOR * peersTookMs);
        return failures >= FAILURES_TO_EJECT || slow;
    }

    void eject(long nowMs) {
        ejected = true;
        probing = false;
        ejectedUntilMs = nowMs + (FIRST_EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        forgetSamples();
    }

    boolean ejected() {
        return ejected;
    }

    /** Records the outcome of a request. */
    void record(SlotOutcome outcome, long nowMs) {
        boolean probe = probing;
        probing = false;
        tookMs = samples == 0 ? outcome.tookMs() : tookMs + SMOOTHING * (outcome.tookMs() - tookMs);
        samples++;
        failures = outcome.succeeded() ? 0 : failures + 1;
        successes = outcome.succeeded() ? successes + 1 : 0;
        if (successes >= SUCCESSES_TO_FORGET) {
            ejections = 0;
        }
        if (!ejected || !probe) {
            return;
        }
        if (outcome.succeeded()) {
            ejected = false;
            forgetSamples();
        } else {
            eject(nowMs);
        }
    }

    int samples() {
        return samples;
    }

    void sent() {
        probing = ejected;
    }

    double tookMs() {
        return tookMs;
    }

    private void forgetSamples() {
        samples = 0;
        failures = 0;
        successes = 0;
    }
}
