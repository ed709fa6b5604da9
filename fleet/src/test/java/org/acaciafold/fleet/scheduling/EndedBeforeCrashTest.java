package org.acaciafold.fleet.scheduling;

import java.util.Optional;

import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a job that is given up for crashes of workers on which its runs had ended behind a cut. */
class EndedBeforeCrashTest {
    private static final long DURATION_MS = 900;
    private static final long CUT_AFTER_MS = 300;
    private static final long CUT_MS = 1_700;
    private static final long DOWN_MS = 500;
    private static final long SOON_MS = 10_000;

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    private static WorkerEntry next(WorkerEntry entry) {
        return changed(entry, entry.address(), false, entry.incarnation() + 1);
    }

    private String awaitStart(int number) {
        for (long ms = 0; ms < SOON_MS && fleet.startsOf("job").size() < number; ms += 20) {
            fleet.run(20);
        }
        assertEquals(number, fleet.startsOf("job").size());
        return fleet.startsOf("job").getLast().worker();
    }

    /** Cuts a worker off until its run has ended there, and crashes it behind the cut. */
    private void cutAndCrash(String id) {
        WorkerEntry entry = fleet.workers.get(id).entry;
        fleet.run(CUT_AFTER_MS);
        fleet.workers.get(id).reachable = false;
        fleet.run(CUT_MS);
        fleet.leave(id);
        fleet.run(DOWN_MS).with(next(entry));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400})
    void shouldCompleteAJobWhoseRunsEndedBehindACutBeforeTheirWorkersCrashed(long offsetMs) {
        fleet.durationMs = task -> DURATION_MS;
        fleet.with(worker("a", 1_000), worker("b", 1_000)).run(1_000 + offsetMs);
        fixture.scheduler.accept(fixture.job(
                "job",
                route(1, 3, Optional.empty()),
                step(1, 500).estimateMs(4_000).build()));

        cutAndCrash(awaitStart(1));
        cutAndCrash(awaitStart(2));
        fleet.run(SOON_MS);

        assertEquals(JobState.COMPLETED, fixture.published.get("job"));
        assertTrue(fleet.startsOf("job").size() >= 3);
    }
}
