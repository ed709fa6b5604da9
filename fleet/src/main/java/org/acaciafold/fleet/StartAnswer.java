package org.acaciafold.fleet;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A worker's answer to an order to start a task, or what is known without one.
 *
 * @param outcome the outcome of the order
 * @param clockMs the worker's monotonic clock when it answered, in milliseconds; empty without an answer
 */
public record StartAnswer(StartOutcome outcome, OptionalLong clockMs) {
    /** Rejects missing components. */
    public StartAnswer {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(clockMs, "clockMs");
    }

    /**
     * Returns what is known of an order that got no answer.
     *
     * @param outcome the outcome
     * @return the answer, without a clock
     */
    public static StartAnswer missing(StartOutcome outcome) {
        return new StartAnswer(outcome, OptionalLong.empty());
    }
}
