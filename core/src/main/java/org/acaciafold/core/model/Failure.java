package org.acaciafold.core.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A typed error with the step and the peer at which it occurred.
 *
 * <p>Example: {@code Failure.notRun(Step.ADMISSION, "host-1", "queue-full", "the workspace's queue is full")}.
 *
 * @param step the step
 * @param peer the process or service involved, such as a worker identifier or an address
 * @param outcome what is known about the execution of the request
 * @param code a stable machine-readable code, in lower case with hyphens
 * @param message a human-readable message
 * @param retryAfterMs milliseconds after which a retry may succeed, if known
 */
public record Failure(Step step, String peer, Outcome outcome, String code, String message, OptionalLong retryAfterMs) {
    /**
     * Validates the components.
     *
     * @param step the step
     * @param peer the process or service involved
     * @param outcome what is known about the execution of the request
     * @param code a stable machine-readable code
     * @param message a human-readable message
     * @param retryAfterMs milliseconds after which a retry may succeed, if known
     */
    public Failure {
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfterMs, "retryAfterMs");
    }

    /**
     * Creates an error for a request that provably did not run.
     *
     * @param step the step
     * @param peer the process or service involved
     * @param code a stable machine-readable code
     * @param message a human-readable message
     * @return the error
     */
    public static Failure notRun(Step step, String peer, String code, String message) {
        return new Failure(step, peer, Outcome.NOT_RUN, code, message, OptionalLong.empty());
    }

    /**
     * Creates an error for a request that may have run.
     *
     * @param step the step
     * @param peer the process or service involved
     * @param code a stable machine-readable code
     * @param message a human-readable message
     * @return the error
     */
    public static Failure unknown(Step step, String peer, String code, String message) {
        return new Failure(step, peer, Outcome.UNKNOWN, code, message, OptionalLong.empty());
    }

    /**
     * Returns a copy of this error with the time after which a retry may succeed.
     *
     * @param ms milliseconds after which a retry may succeed
     * @return the error
     */
    public Failure withRetryAfterMs(long ms) {
        return new Failure(step, peer, outcome, code, message, OptionalLong.of(ms));
    }
}
