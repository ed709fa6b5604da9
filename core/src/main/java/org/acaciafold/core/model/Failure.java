package org.acaciafold.core.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A typed error with the step and the peer at which it arose.
 *
 * <p>Example: {@code Failure.notRun(Step.ADMISSION, "host-1", "queue-full", "the workspace's queue is full")}.
 *
 * @param step the step
 * @param peer the process or service concerned, such as a worker identifier or an address
 * @param outcome what is known of the request
 * @param code a stable code for programs, in lower case with hyphens
 * @param message a sentence for people
 * @param retryAfterMs milliseconds after which a repeat may succeed, when that is known
 */
public record Failure(Step step, String peer, Outcome outcome, String code, String message, OptionalLong retryAfterMs) {
    /**
     * Checks the error.
     *
     * @param step the step
     * @param peer the process or service concerned
     * @param outcome what is known of the request
     * @param code a stable code for programs
     * @param message a sentence for people
     * @param retryAfterMs milliseconds after which a repeat may succeed
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
     * Creates an error of a request that provably did not run.
     *
     * @param step the step
     * @param peer the process or service concerned
     * @param code a stable code for programs
     * @param message a sentence for people
     * @return the error
     */
    public static Failure notRun(Step step, String peer, String code, String message) {
        return new Failure(step, peer, Outcome.NOT_RUN, code, message, OptionalLong.empty());
    }

    /**
     * Creates an error of a request that may have run.
     *
     * @param step the step
     * @param peer the process or service concerned
     * @param code a stable code for programs
     * @param message a sentence for people
     * @return the error
     */
    public static Failure unknown(Step step, String peer, String code, String message) {
        return new Failure(step, peer, Outcome.UNKNOWN, code, message, OptionalLong.empty());
    }

    /**
     * Returns this error with the time after which a repeat may succeed.
     *
     * @param ms milliseconds
     * @return the error
     */
    public Failure withRetryAfterMs(long ms) {
        return new Failure(step, peer, outcome, code, message, OptionalLong.of(ms));
    }
}
