package org.acaciafold.fleet.fuzz;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers steps of which advice left out workers that the policy allows. */
class AdviceByRegistryTest {
    @ParameterizedTest
    @ValueSource(longs = {16, 59, 113, 133})
    void shouldAskAgainAboutWorkersThatAdviceLeftOut(long seed) {
        assertNoViolation(seed, PlatformFault.ADVICE_BY_REGISTRY);
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 40})
    void shouldAskAgainAboutWorkersThatAdviceLearnsOfLate(long seed) {
        assertNoViolation(seed, PlatformFault.LATE_ADVICE);
    }

    @ParameterizedTest
    @ValueSource(longs = {34, 54})
    void shouldAskAgainWhenAnAnswerWasShort(long seed) {
        assertNoViolation(seed, PlatformFault.SHORT_ADVICE);
    }

    private static void assertNoViolation(long seed, PlatformFault fault) {
        World world = World.withPlatformFaults(seed, false, Set.of(fault));

        world.run(FleetFuzzTest.FAULTS_MS, FleetFuzzTest.FAULT_FREE_MS);

        assertEquals(List.of(), world.oracle.violations.stream().limit(1).toList(), "seed " + seed);
    }
}
