package org.acaciafold.fleet.fuzz;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers a worker that is lost for good so shortly before its leader that the leader does not notice. */
class LostWithLeaderTest {
    /** The seeds that {@link FleetFuzzTest} leaves to this test. */
    static final Set<Long> SEEDS = Set.of(3L);

    /** Guards against a task that lasts and is away for a whole lease from the takeover on. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldRunLastingTasksAgainInTimeWhenTheirWorkerIsLostWithTheLeader(boolean crashes) {
        for (long seed : SEEDS) {
            World world = new World(seed, crashes);

            world.run(FleetFuzzTest.FAULTS_MS, FleetFuzzTest.FAULT_FREE_MS);

            assertEquals(List.of(), world.oracle.violations.stream().limit(1).toList(), "seed " + seed);
        }
    }
}
