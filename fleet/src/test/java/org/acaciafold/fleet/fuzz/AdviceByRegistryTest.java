package org.acaciafold.fleet.fuzz;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers steps of which advice left out workers whose entries had lapsed and are back. */
class AdviceByRegistryTest {
    private static final Set<PlatformFault> FAULTS = Set.of(PlatformFault.ADVICE_BY_REGISTRY);

    @ParameterizedTest
    @ValueSource(longs = {16, 59, 113, 133})
    void shouldAskAgainAboutWorkersThatAdviceLeftOut(long seed) {
        World world = World.withPlatformFaults(seed, false, FAULTS);

        world.run(FleetFuzzTest.FAULTS_MS, FleetFuzzTest.FAULT_FREE_MS);

        assertEquals(List.of(), world.oracle.violations.stream().limit(1).toList(), "seed " + seed);
    }
}
