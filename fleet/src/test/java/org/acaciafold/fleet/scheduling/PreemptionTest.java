package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.StopOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers workers that long tasks fill, as after the loss of a failure domain, while urgent short jobs arrive. */
class PreemptionTest {
    private static final long CAPACITY = 10_000;
    private static final int BATCH_TASKS = 5;
    private static final int URGENT = 0;
    private static final int BATCH = 2;

    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", CAPACITY));
    private final List<Effect.Start> running = new ArrayList<>();

    /** Returns a step whose tasks run for a minute and together fill the worker. */
    private static StepSpec.Builder filling() {
        return step(BATCH_TASKS, CAPACITY / BATCH_TASKS).estimateMs(60_000).checkpoints(true);
    }

    private void fill(int priority, StepSpec spec) {
        fixture.scheduler.accept(fixture.job("batch", route(priority, 4, Optional.empty()), spec));
        running.addAll(fixture.confirmedStarts());
        assertEquals(BATCH_TASKS, running.size());
        pass(PreemptionSystem.MIN_RUN_MS);
    }

    private void submitUrgent(int tasks, long cpuMillis) {
        fixture.scheduler.accept(fixture.job(
                "urgent",
                route(URGENT, 4, Optional.empty()),
                step(tasks, cpuMillis).build()));
        fixture.tick();
    }

    private void pass(long ms) {
        fixture.advance(ms);
        renew(List.of());
    }

    private void renew(List<RunEnd> ends) {
        List<ReportedRun> reported =
                running.stream().map(SchedulerFixture::running).toList();
        fixture.leaseRenewed("a", reported, ends);
    }

    /** Returns the stop orders of two ticks: the first requests the stops, the second sends them. */
    private List<Effect.Stop> stops() {
        List<Effect> both = new ArrayList<>(fixture.tick());
        both.addAll(fixture.tick());
        List<Effect.Stop> stops = new ArrayList<>();
        fixture.forEach(Effect.Stop.class, both, stops::add);
        return stops;
    }

    /** Guards against urgent jobs that miss their objective behind tasks that could continue later. */
    @Test
    void shouldStartTheUrgentTasksWhenCheckpointedOnesAreStopped() {
        fill(BATCH, filling().build());
        submitUrgent(2, 1_500);
        pass(PreemptionSystem.MIN_WAIT_MS);

        List<Effect.Stop> stops = stops();

        assertEquals(2, stops.size());
        List<RunEnd> ends = new ArrayList<>();
        for (Effect.Stop stop : stops) {
            running.removeIf(start -> start.task().equals(stop.task()));
            fixture.scheduler.stopped("a", stop.task(), stop.run(), StopOutcome.STOPPED);
            ends.add(new RunEnd(ends.size() + 1, stop.task(), stop.run(), EndKind.STOPPED, "saved"));
        }
        renew(ends);
        List<Effect.Start> starts = fixture.starts();
        assertEquals(
                List.of("urgent", "urgent"),
                starts.stream().map(start -> start.task().job()).toList());
    }

    /** Guards against stops in each tick until the first ends are reported. */
    @Test
    void shouldStopNoMoreTasksWhileStoppedOnesHaveNotEnded() {
        fill(BATCH, filling().build());
        submitUrgent(1, 1_500);
        pass(PreemptionSystem.MIN_WAIT_MS);
        assertEquals(1, stops().size());

        pass(10);

        assertEquals(0, stops().size());
    }

    @Test
    void shouldStopNothingWhenTheUrgentStepHasJustBecomeReady() {
        fill(BATCH, filling().build());
        submitUrgent(1, 1_500);

        pass(PreemptionSystem.MIN_WAIT_MS - 1);

        assertEquals(0, stops().size());
    }

    /** Guards against a loss of work, and against gangs and services that an urgent job would break. */
    @ParameterizedTest
    @CsvSource({"0, true, false, false", "2, false, false, false", "2, true, true, false", "2, true, false, true"})
    void shouldStopNothingWhenTheRunningTasksMayNotBePreempted(
            int priority, boolean checkpoints, boolean gang, boolean longRunning) {
        fill(
                priority,
                filling()
                        .checkpoints(checkpoints)
                        .gang(gang)
                        .longRunning(longRunning)
                        .build());
        submitUrgent(1, 1_500);

        pass(PreemptionSystem.MIN_WAIT_MS);

        assertEquals(0, stops().size());
    }

    /** A task that has just started or continued makes progress before it is stopped. */
    @Test
    void shouldStopNothingWhenTheRunningTasksHaveJustStarted() {
        fixture.scheduler.accept(fixture.job(
                "batch", route(BATCH, 4, Optional.empty()), filling().build()));
        running.addAll(fixture.confirmedStarts());
        fixture.scheduler.accept(fixture.job(
                "second", route(URGENT, 4, Optional.empty()), step(1, 1_500).build()));
        fixture.tick();

        pass(PreemptionSystem.MIN_RUN_MS - 1);

        assertEquals(0, stops().size());
    }

    /** Guards against stops for tasks that could not start afterwards either. */
    @Test
    void shouldStopNothingWhenTheWorkspaceMayNotRunMore() {
        fill(BATCH, filling().build());
        fixture.scheduler.configure(SchedulerFixture.config(Resources.of(CAPACITY, 0, 0)), Set.of());
        submitUrgent(1, 1_500);

        pass(PreemptionSystem.MIN_WAIT_MS);

        assertEquals(0, stops().size());
    }

    /** Guards against stops for a job that has missed its objective, which gains nothing by starting sooner. */
    @Test
    void shouldStopNothingWhenTheUrgentJobIsLate() {
        fill(BATCH, filling().build());
        submitUrgent(1, 1_500);

        pass(5_000);

        assertEquals(0, stops().size());
    }
}
