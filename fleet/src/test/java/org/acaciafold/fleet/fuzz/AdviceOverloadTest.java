package org.acaciafold.fleet.fuzz;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers steps that never get a call for advice while others come before them; KNOWN-RED.txt has the cause. */
class AdviceOverloadTest {
    @ParameterizedTest
    @ValueSource(longs = {430, 440})
    void shouldLeaveNoStepWaitingWhenCallsForAdviceAreShort(long seed) {
        World world = World.withOverload(seed);

        world.run(FleetFuzzTest.troublesMs(seed), FleetFuzzTest.FAULT_FREE_MS);

        assertEquals(List.of(), world.oracle.violations.stream().limit(1).toList(), "seed " + seed);
    }
}
