package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StepProgress;
import org.acaciafold.fleet.StoredJob;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Covers many tasks that may crash their workers, on few workers. */
class SuspectWaitTest {
    /** A task must not wait longer while capacity for it is free twice over and less than half is in use. */
    private static final long MAX_HELD_MS = 3_000;

    private static final int JOBS = 8;

    private final SimulatedFleet fleet = new SimulatedFleet(2);

    /** Restores jobs of one task each under which two workers have been lost, for whatever reason. */
    private void restoreSuspects(int jobs) {
        StepProgress.TaskCrashes crashes = new StepProgress.TaskCrashes(
                0, 0, List.of(new StepProgress.Crash(1, 500, false, 0), new StepProgress.Crash(2, 500, false, 0)));
        StepProgress progress = new StepProgress(0, 0, new byte[0], List.of(), List.of(), List.of(crashes));
        List<StoredJob> stored = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            stored.add(new StoredJob(
                    fleet.fixture.job("suspect-" + i, step(1, 500).build()),
                    Optional.of(new Progress(JobState.QUEUED, List.of(progress))),
                    false));
        }
        fleet.fixture.scheduler.restore(stored, Map.of(), Set.of(), List.of());
    }

    /** Guards against tasks that wait in turn, 3 s each, for a worker without a task of another job that may crash it. */
    @Test
    void shouldStartAllTasksInTimeWhenMoreJobsThanWorkersAreSuspect() {
        restoreSuspects(JOBS);
        fleet.with(worker("a", 10_000), worker("b", 10_000));

        fleet.run(500 + MAX_HELD_MS);

        assertEquals(JOBS, fleet.started.size());
    }

    /** Guards against a crash that does not tell of which job it was, although each job could have had a worker. */
    @Test
    void shouldKeepSuspectsOfTwoJobsApartWhenThereIsAWorkerForEach() {
        restoreSuspects(2);
        fleet.with(worker("a", 10_000), worker("b", 10_000));

        fleet.run(500 + MAX_HELD_MS);

        assertEquals(2, fleet.started.size());
        assertNotEquals(fleet.started.get(0).worker(), fleet.started.get(1).worker());
    }
}
