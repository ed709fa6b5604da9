package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class FailFastRunnerTest {
    private final List<String> failures = new ArrayList<>();
    private final FailFastRunner runner = new FailFastRunner(failures::add);

    static Stream<Throwable> unexpected() {
        return Stream.of(new IllegalStateException("half changed"), new StackOverflowError());
    }

    @ParameterizedTest
    @MethodSource("unexpected")
    void shouldReportOneFailureWhenAnActionFails(Throwable error) {
        List<String> ran = new ArrayList<>();

        runner.run(() -> ran.add("before"));
        runner.run(() -> throwUnchecked(error));
        runner.run(() -> ran.add("after"));

        assertEquals(List.of("before"), ran);
        assertEquals(List.of("unexpected error: " + error), failures);
    }

    @Test
    void shouldReportNothingWhenNothingFails() {
        runner.run(() -> {});

        assertEquals(List.of(), failures);
    }

    private static void throwUnchecked(Throwable error) {
        if (error instanceof Error fatal) {
            throw fatal;
        }
        throw (RuntimeException) error;
    }
}
