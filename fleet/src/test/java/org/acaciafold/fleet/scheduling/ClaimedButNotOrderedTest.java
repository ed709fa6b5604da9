package org.acaciafold.fleet.scheduling;

import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.TaskName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Covers claims of an earlier leader that were recorded and never ordered. */
class ClaimedButNotOrderedTest {
    private static final long LONG_MS = 60_000;

    private final CrashSimulation simulation = CrashSimulation.of(1, 4_000);

    /** Guards against a job that is given up for two crashes of which only one hit a run of it. */
    @Test
    void shouldCompleteAJobWhenOneOfTwoCrashesHitOnlyAClaimThatWasNeverOrdered() {
        simulation.losesSaveReplies = true;
        TaskName task = simulation.submit("job");
        simulation.run(500);
        assertNull(simulation.starts.get(task));
        simulation.workers.values().forEach(simulation::crash);
        simulation.losesSaveReplies = false;
        simulation.changeLeader();
        for (long ms = 0; simulation.starts.get(task) == null && ms < LONG_MS; ms += 10) {
            simulation.run(10);
        }
        simulation.run(CrashSimulation.CRASHES_AFTER_MS);
        simulation.crash(simulation.workerOf(task));

        simulation.run(LONG_MS);

        assertEquals(1, simulation.crashes.get(task));
        assertEquals(JobState.COMPLETED, simulation.published.get("job"));
    }
}
