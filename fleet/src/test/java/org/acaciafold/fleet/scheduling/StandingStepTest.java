package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.running;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers what tells operators why a step stands for good although there is room for it. */
class StandingStepTest {
    private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 2_500);
    private static final Route ADVISED = route(1, 4, Optional.of(ADVICE));
    private static final Route PLAIN = route(1, 4, Optional.empty());

    /** How long steps wait before they are told of. */
    private static final long MIN_WAIT_MS = 2_000;

    /** The contract owes a start within this time where there is room. */
    private static final long MAX_STAND_MS = 3_000;

    private static final long CPU_MILLIS = 4_000;

    private final LoggedLines lines = LoggedLines.of(WaitReporter.class);
    private final SchedulerFixture fixture = new SchedulerFixture(1);

    @AfterEach
    void close() {
        lines.close();
    }

    private void limit(long cpuMillis) {
        fixture.scheduler.configure(SchedulerFixture.config(Resources.of(cpuMillis, 0, 0)), Set.of());
    }

    private WorkerRow row(String worker) {
        return fixture.scheduler.tables.workers.get(worker);
    }

    /** Lets time pass in which the worker answers and the leader keeps a belief about it. */
    private void pass(long ms, Consumer<WorkerRow> belief) {
        fixture.advance(ms);
        fixture.leaseRenewed("a", List.of(), List.of());
        belief.accept(row("a"));
        fixture.tick();
    }

    private int standing() {
        Map<String, Integer> counts = Diagnosis.of(fixture.scheduler).standing();
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private String lastLine(String start) {
        return lines.startingWith(start).getLast();
    }

    private static void assertTold(String line, String... parts) {
        for (String part : parts) {
            assertTrue((line + " ").contains(" " + part + " "), part + " not in: " + line);
        }
    }

    private List<String> explain(String job) {
        return Diagnosis.of(fixture.scheduler).explain(job).orElseThrow();
    }

    private static String only(List<String> explained, String start) {
        List<String> found =
                explained.stream().filter(line -> line.startsWith(start)).toList();
        assertEquals(1, found.size(), String.join("\n", explained));
        return found.getFirst();
    }

    // the three hypotheses of a step that stands

    @Test
    void shouldTellTheDenialsWhenAdviceHasLeftOutAllWorkersThatFit() {
        SimulatedFleet fleet = new SimulatedFleet(fixture);
        fleet.with(worker("a", CPU_MILLIS), worker("b", CPU_MILLIS)).run(1_100);
        fleet.allows = (step, worker) -> false;
        fixture.scheduler.accept(fixture.job("job", ADVISED, step(1, 1_000).build()));

        fleet.run(MAX_STAND_MS + 1_000);

        assertTold(lastLine("step waits job=job "), "unreserved=0", "fit=2", "unused={DENIED=2}", "deniedWithRoom=2");
        List<String> explained = explain("job");
        assertTold(only(explained, "step waits"), "roomTwice=true", "unused={DENIED=2}");
        assertTold(only(explained, "worker not used step=0.0 worker=b"), "reason=DENIED", "condition=none", "room=4");
        assertEquals(1, standing());
    }

    @ParameterizedTest
    @EnumSource(
            value = Ineligibility.class,
            names = {"SUSPECT", "PAUSED", "SILENCE_RECORDED", "REFUSED_START", "UNRECONCILED"})
    void shouldTellTheConditionWhenTheOnlyWorkerThatFitsIsKeptOut(Ineligibility condition) {
        fixture.withWorkers(worker("a", CPU_MILLIS), worker("small", 500));
        Consumer<WorkerRow> belief = keptOutBy(condition);
        fixture.scheduler.accept(fixture.job("job", PLAIN, step(1, 1_000).build()));
        pass(0, belief);

        pass(MIN_WAIT_MS, belief);

        assertTold(
                lastLine("step waits job=job "),
                "unreserved=0",
                "fit=1",
                "unused={NOT_ELIGIBLE=1}",
                "ineligible={" + condition + "=1}");
        List<String> explained = explain("job");
        assertTold(only(explained, "worker not used"), "worker=a", "reason=NOT_ELIGIBLE", "condition=" + condition);
        pass(MAX_STAND_MS, belief);
        assertEquals(1, standing());
    }

    private Consumer<WorkerRow> keptOutBy(Ineligibility condition) {
        return switch (condition) {
            case SUSPECT -> row -> row.suspect = true;
            case PAUSED -> row -> row.pausedUntilMs = Long.MAX_VALUE;
            case SILENCE_RECORDED -> row -> row.silenceRecorded = true;
            case REFUSED_START -> row -> row.refusedUntilMs = Long.MAX_VALUE;
            default -> row -> fixture.scheduler.tables.unreconciled.add(row);
        };
    }

    @Test
    void shouldTellTheRunsWhenUnconfirmedOnesUseTheLimitUp() {
        limit(1_000);
        fixture.withWorkers(worker("a", CPU_MILLIS));
        fixture.scheduler.accept(fixture.job("first", PLAIN, step(2, 500).build()));
        List<Effect.Start> starts = fixture.starts();
        starts.forEach(start -> fixture.answerStart(start, StartOutcome.UNKNOWN));
        fixture.scheduler.accept(fixture.job("second", PLAIN, step(1, 500).build()));
        pass(0, row -> {});

        pass(MIN_WAIT_MS, row -> {});

        assertEquals(2, starts.size());
        assertTold(lastLine("step waits job=second "), "reason=WORKSPACE_LIMIT", "fit=1", "unused={NONE=1}");
        assertTold(lastLine("workspace limit "), "unconfirmed=" + Resources.of(1_000, 2_000, 0));
        List<String> explained = explain("second");
        assertTold(only(explained, "worker not used"), "reason=NONE", "runs=2", "unconfirmed=2");
        assertEquals(
                2,
                explained.stream()
                        .filter(line -> line.startsWith("run holds limit task=") && line.contains("phase=UNCONFIRMED"))
                        .count());
        assertTold(only(explained, "decided by: step waits"), "job=second", "reason=WORKSPACE_LIMIT");
    }

    // other reasons

    @Test
    void shouldTellTheRunsWhenTheyOccupyTheWorkersThatFit() {
        fixture.withWorkers(worker("a", CPU_MILLIS));
        fixture.scheduler.accept(fixture.job("first", PLAIN, step(1, 3_500).build()));
        Effect.Start start = fixture.starts().getFirst();
        fixture.answerStart(start, StartOutcome.UNKNOWN);
        fixture.scheduler.accept(fixture.job("second", PLAIN, step(1, 1_000).build()));
        pass(0, row -> {});

        pass(MIN_WAIT_MS, row -> {});

        assertTold(
                lastLine("step waits job=second "),
                "reason=NO_CAPACITY",
                "unused={NO_ROOM=1}",
                "fullRuns=1",
                "fullUnconfirmed=1",
                "fullUnconfirmedOldestMs=" + MIN_WAIT_MS);
        pass(MAX_STAND_MS, row -> {});
        assertEquals(0, standing());
    }

    @Test
    void shouldTellThePredecessorWhenAStepIsNotReady() {
        fixture.withWorkers(worker("a", CPU_MILLIS));
        fixture.scheduler.accept(fixture.job(
                "job", step(2, 500).build(), step(3, 500).after(List.of(0)).build()));
        fixture.confirmedStarts();

        List<String> explained = explain("job");

        assertTold(only(explained, "step runs"), "step=0.0", "tasks=2", "running=2", "waiting=0");
        assertTold(only(explained, "step not ready"), "step=0.1", "waitsFor=0.0", "remaining=2");
    }

    @Test
    void shouldTellNothingOfAJobThatTheLeaderDoesNotKnow() {
        assertEquals(Optional.empty(), Diagnosis.of(fixture.scheduler).explain("job"));
    }

    // since when

    /** Guards against a task that seems to have waited since its first run began. */
    @Test
    void shouldTellSinceWhenATaskWaitsAndSinceWhenItsStepIsReady() {
        fixture.withWorkers(worker("a", CPU_MILLIS));
        fixture.scheduler.accept(fixture.job("job", PLAIN, step(1, 3_000).build()));
        Effect.Start start = fixture.confirmedStarts().getFirst();
        for (int i = 0; i < 3; i++) {
            fixture.advance(MAX_STAND_MS);
            fixture.leaseRenewed("a", List.of(running(start)), List.of());
            fixture.tick();
        }
        row("a").pausedUntilMs = Long.MAX_VALUE;
        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.FAILED)));
        fixture.tick();

        pass(MIN_WAIT_MS, row -> {});

        long readyForMs = 3 * MAX_STAND_MS + MIN_WAIT_MS;
        assertTold(lastLine("step waits job=job "), "waitedMs=" + MIN_WAIT_MS, "readyForMs=" + readyForMs);
    }

    // bounds

    /** Guards against ticks whose cost grows with the steps that wait, each of a size of its own. */
    @Test
    void shouldLookThroughTheWorkersForABoundedNumberOfStepsWhenThousandsWait() {
        int jobs = 1_000;
        fixture.withWorkers(IntStream.range(0, 100)
                .mapToObj(i -> worker("w" + i, CPU_MILLIS + i))
                .toArray(WorkerEntry[]::new));
        IntStream.range(0, jobs)
                .forEach(i -> fixture.scheduler.accept(fixture.job(
                        "job-" + i,
                        PLAIN,
                        step(150, CPU_MILLIS - 2 * i).gang(true).build())));
        fixture.tick();
        fixture.advance(MIN_WAIT_MS);
        fixture.tick();
        FleetRoom room = FleetRoom.of(fixture.scheduler.tables);

        fixture.scheduler.tables.active.forEach(job -> room.hasTwice(job.steps.getFirst()));

        assertTrue(room.scans() <= FleetRoom.MAX_SCANS, "scans " + room.scans());
        assertEquals(3, lines.startingWith("step waits ").size());
    }
}
