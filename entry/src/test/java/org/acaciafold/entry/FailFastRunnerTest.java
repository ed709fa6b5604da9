package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class FailFastRunnerTest {
    private final List<String> told = new ArrayList<>();
    private final FailFastRunner runner = new FailFastRunner(told::add);

    static Stream<Throwable> unexpected() {
        return Stream.of(new IllegalStateException("half changed"), new StackOverflowError());
    }

    @ParameterizedTest
    @MethodSource("unexpected")
    void shouldGiveTheTermUpOnceWhenAPartFails(Throwable error) {
        List<String> ran = new ArrayList<>();

        runner.run(() -> ran.add("before"));
        runner.run(() -> sneak(error));
        runner.run(() -> ran.add("after"));

        assertEquals(List.of("before"), ran);
        assertEquals(List.of("unexpected error: " + error), told);
    }

    @Test
    void shouldTellNothingWhenNothingFails() {
        runner.run(() -> {});

        assertEquals(List.of(), told);
    }

    private static void sneak(Throwable error) {
        if (error instanceof Error fatal) {
            throw fatal;
        }
        throw (RuntimeException) error;
    }
}
