package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Progress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers jobs whose steps run at given times of day. */
class RecurrenceTest {
    private static final long MAX_HELD_MS = 3_000;

    /** Guards against occurrences that wait until a wall clock that was set back has caught up. */
    @Test
    void shouldStartAnOccurrenceWhenItIsDueAlthoughTheWallClockWasSetBack() {
        SimulatedFleet fleet = new SimulatedFleet();
        fleet.with(worker("a", 4_000)).run(1_000);
        SchedulerFixture fixture = fleet.fixture;
        submit(fixture, fixture.wallMs + 2_000);
        fleet.run(500);

        fixture.wallMs -= 60_000;
        fleet.run(2_500 + MAX_HELD_MS);

        assertEquals(2, fleet.startsOf("job").size());
    }

    /** Guards against occurrences that start early for good because the wall clock was once ahead. */
    @Test
    void shouldStartAnOccurrenceNoEarlierThanDueWhenAWallClockAheadWasCorrected() {
        SimulatedFleet fleet = new SimulatedFleet();
        fleet.with(worker("a", 4_000)).run(1_000);
        SchedulerFixture fixture = fleet.fixture;
        fixture.wallMs += 5_000;
        fleet.run(1_000);
        fixture.wallMs -= 5_000;
        fleet.run(60_000);
        submit(fixture, fixture.wallMs + 2_000);

        fleet.run(1_900);

        assertEquals(0, fleet.startsOf("job").size());
        fleet.run(1_000 + MAX_HELD_MS);
        assertEquals(2, fleet.startsOf("job").size());
    }

    /** Guards against a record that grows with each occurrence until no row can hold it. */
    @ParameterizedTest
    @ValueSource(ints = {799, 800, 801, 1_200})
    void shouldListNoMoreThanSomeHundredStepsWhenOccurrencesAreCompleted(int completed) {
        JobRow row = rowWithCompletedOccurrences(completed);

        Progress progress = row.progress();

        assertTrue(progress.steps().size() <= 800, progress.steps().size() + " steps");
        JobRow next = new JobRow(row.job);
        next.restore(progress, row.dueMs(completed + 5));
        assertEquals(completed, next.occurrencesDone);
        assertEquals(0, next.step(completed - 1, 0).remaining);
        next.addOccurrence();
        assertEquals(1, next.step(completed, 0).remaining);
    }

    @Test
    void shouldListTheOccurrencesAfterOneThatIsNotCompleted() {
        JobRow row = rowWithCompletedOccurrences(1_200);
        row.step(700, 0).tasks.getFirst().done = false;
        row.step(700, 0).remaining = 1;

        Progress progress = row.progress();

        assertEquals(700, progress.completedOccurrences());
        JobRow next = new JobRow(row.job);
        next.restore(progress, row.dueMs(1_205));
        assertEquals(1_199, next.occurrencesDone);
        assertEquals(1, next.step(700, 0).remaining);
    }

    private static JobRow rowWithCompletedOccurrences(int completed) {
        JobRow row = new JobRow(new Job(
                "job",
                route(1, 4, Optional.empty()),
                "north",
                "spec",
                List.of(step(1, 500).build()),
                5_000,
                0,
                1_000,
                0));
        for (int i = 0; i < completed; i++) {
            row.addOccurrence();
            row.step(i, 0).complete();
        }
        return row;
    }

    /** Submits a job with two occurrences a second apart. */
    private static void submit(SchedulerFixture fixture, long firstDueMs) {
        fixture.scheduler.accept(new Job(
                "job",
                route(1, 4, Optional.empty()),
                "north",
                "spec",
                List.of(step(1, 500).build()),
                2,
                firstDueMs,
                1_000,
                fixture.wallMs));
    }
}
