package org.acaciafold.fleet.scheduling;

import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.TaskName;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers starts of a task that has crashed three workers, while others went down, and that end without a crash. */
class StartsAfterThreeCrashesTest {
    private static final TaskName TASK = new TaskName("job", 0, 0, 0);
    private static final int CRASHES = 3;
    private static final int ATTEMPTS = 10;
    private static final long SHORT_RUN_MS = 100;
    private static final long LONG_RUN_MS = CrashHistory.EARLY_MS + 500;
    private static final long LONG_MS = 60_000;

    private final CrashSimulation simulation = CrashSimulation.of(4, 4_000);

    private void submit(long workMs) {
        simulation.submit("job", ATTEMPTS, step(1, 500).estimateMs(workMs).build());
        simulation.culprits.add(TASK);
    }

    /** Crashes all workers with that of the task, so that the crashes alone do not decide. */
    private void crashThreeTimes() {
        for (int i = 0; i < CRASHES; i++) {
            simulation.runUntilCrash(TASK);
            simulation.workers.values().forEach(simulation::crash);
        }
    }

    private void failAfter(long ms) {
        for (long waitedMs = 0; !simulation.running().contains(TASK) && waitedMs < LONG_MS; waitedMs += 10) {
            simulation.run(10);
        }
        simulation.run(ms);
        simulation.end(TASK, EndKind.FAILED);
    }

    /** Guards against a third start after three crashes, when the two before it failed before they could crash a worker. */
    @Test
    void shouldStartATaskAtMostTwiceAfterThreeCrashesHoweverTheseStartsEnd() {
        submit(500);
        crashThreeTimes();
        failAfter(SHORT_RUN_MS);
        failAfter(SHORT_RUN_MS);

        simulation.run(LONG_MS);

        assertEquals(CRASHES + 2, simulation.starts.get(TASK));
        assertEquals(JobState.FAILED, simulation.published.get("job"));
    }

    /** Guards against a harmless task that is given up for runs that lasted too long to crash their workers at the start. */
    @Test
    void shouldGoOnStartingATaskWhoseRunsOutliveTheTimeToCrash() {
        submit(LONG_RUN_MS + 1_000);
        crashThreeTimes();
        simulation.culprits.remove(TASK);
        for (int i = 0; i < CRASHES; i++) {
            failAfter(LONG_RUN_MS);
        }

        simulation.run(LONG_MS);

        assertEquals(JobState.COMPLETED, simulation.published.get("job"));
    }
}
