package org.acaciafold.proof.soak;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class InvariantsTest {
    private static final int CPU_MILLIS = 8_000;
    private static final int CAPACITY_MILLIS = 16_000;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NO_ANSWER = 0;
    private static final long AFTER_CANCEL_MS = 12_001;

    private long nowMs = 1_000;
    private final Invariants invariants = new Invariants(() -> nowMs, CPU_MILLIS, CAPACITY_MILLIS);

    static Stream<Arguments> violations() {
        return Stream.of(
                violation("runs twice", test -> {
                    test.invariants.started("w1", "j1.0.0.0", 1);
                    test.invariants.started("w2", "j1.0.0.0", 2);
                }),
                violation("runs again", test -> {
                    test.run("w1", "j1.0.0.0");
                    test.invariants.acknowledged("w1", "j1.0.0.0", 1, "done");
                    test.invariants.started("w1", "j1.0.0.0", 2);
                }),
                violation("exceeds the capacity", test -> {
                    test.invariants.started("w1", "j1.0.0.0", 1);
                    test.invariants.started("w1", "j1.0.0.1", 1);
                    test.invariants.started("w1", "j2.0.0.0", 1);
                }),
                violation("starts too early", test -> {
                    test.run("w1", "j1.0.0.0");
                    test.invariants.started("w1", "j1.0.1.0", 1);
                }),
                violation("runs without a submission", test -> test.invariants.started("w1", "j9.0.0.0", 1)),
                violation("ran though rejected", test -> {
                    test.invariants.submitted("j3", 1);
                    test.invariants.answered("j3", UNAVAILABLE);
                    test.invariants.started("w1", "j3.0.0.0", 1);
                }),
                violation("starts after a cancellation", test -> {
                    test.invariants.cancelling("j1");
                    test.invariants.cancelled("j1");
                    test.nowMs += AFTER_CANCEL_MS;
                    test.invariants.started("w1", "j1.0.0.0", 1);
                }),
                violation("completed too early", test -> test.invariants.stateReported("j1", "completed")),
                violation("reported as failed", test -> test.invariants.stateReported("j1", "failed")),
                violation("reported as cancelled", test -> test.invariants.stateReported("j1", "cancelled")));
    }

    private static Arguments violation(String invariant, Consumer<InvariantsTest> events) {
        return Arguments.of(invariant, events);
    }

    private void run(String worker, String task) {
        invariants.started(worker, task, 1);
        invariants.ended(worker, task, 1, "done");
    }

    @BeforeEach
    void accept() {
        for (String job : List.of("j1", "j2")) {
            invariants.submitted(job, 2);
            invariants.answered(job, OK);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("violations")
    void shouldReportTheInvariantWhenItIsViolated(String invariant, Consumer<InvariantsTest> events) {
        events.accept(this);

        assertEquals(1, invariants.violations().size(), invariants.violations().toString());
        assertTrue(
                invariants.violations().getFirst().startsWith(invariant),
                invariants.violations().toString());
    }

    @Test
    void shouldReportNothingWhenAJobRunsWithinTheInvariants() {
        for (int step = 0; step < 2; step++) {
            for (int task = 0; task < 2; task++) {
                run("w1", "j1.0." + step + "." + task);
            }
        }
        invariants.stateReported("j1", "completed");

        assertEquals(List.of(), invariants.violations());
        assertEquals(List.of("j1", "j2"), invariants.jobsToComplete());
    }

    @Test
    void shouldAcceptARunWhoseSubmissionWasNotAnswered() {
        invariants.submitted("j3", 1);
        invariants.answered("j3", NO_ANSWER);
        invariants.started("w1", "j3.0.0.0", 1);

        assertEquals(List.of(), invariants.violations());
    }

    @Test
    void shouldAcceptASecondRunWhenTheFirstWasLostWithItsWorker() {
        invariants.started("w1", "j1.0.0.0", 1);
        invariants.ended("w1", "j1.0.0.0", 1, "crashed");
        invariants.started("w2", "j1.0.0.0", 2);

        assertEquals(List.of(), invariants.violations());
    }
}
