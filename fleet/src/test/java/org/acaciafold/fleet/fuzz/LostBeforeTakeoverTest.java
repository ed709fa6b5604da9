package org.acaciafold.fleet.fuzz;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers tasks that last on workers that are lost for good shortly before their leader is. */
class LostBeforeTakeoverTest {
    @ParameterizedTest
    @ValueSource(longs = {9, 321})
    void shouldRunLastingTasksAgainInTimeWhenTheirWorkersAreLostBeforeATakeover(long seed) {
        World world = World.withOverlappingTroubles(seed);

        world.run(FleetFuzzTest.troublesMs(seed), FleetFuzzTest.FAULT_FREE_MS);

        assertEquals(List.of(), world.oracle.violations.stream().limit(1).toList(), "seed " + seed);
    }
}
