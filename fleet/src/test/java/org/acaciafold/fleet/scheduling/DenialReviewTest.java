package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers what reviews of denials do to steps that wait beside others, and how soon a wrong denial is corrected. */
class DenialReviewTest {
    /** The contract asks after so long a calm whether a task has waited beside free capacity, for 3 s on end. */
    private static final long CALM_AND_HELD_MS = 4_000 + 3_000;

    private static final int MANY_STEPS = 100;

    private static final AdviceSettings ADVICE = new AdviceSettings(370, 5, 2_500);
    private static final Route QUEUE = route(1, 4, Optional.of(ADVICE));

    private final SimulatedFleet fleet = new SimulatedFleet();

    /** Guards against a step whose review never comes since older steps that no worker may run are always due again. */
    @ParameterizedTest
    @ValueSource(ints = {10, 40})
    void shouldReviewADenialInTimeWhenOlderStepsAreDeniedForGood(int deniedForGood) {
        fleet.with(worker("a", 4_000), worker("b", 4_000)).run(1_100);
        fleet.allows = (step, worker) -> step.job().equals("late0") && callsFor("late0") > 1;
        accept(deniedForGood, "denied");
        fleet.run(30_000);

        accept(1, "late");
        fleet.run(400 + CALM_AND_HELD_MS);

        assertEquals(1, fleet.startsOf("late0").size());
    }

    /** Guards against the same, for as long as a day lasts. */
    @Test
    void shouldReviewADenialAtAllWhenOlderStepsAreDeniedForGood() {
        fleet.with(worker("a", 4_000), worker("b", 4_000)).run(1_100);
        fleet.allows = (step, worker) -> step.job().equals("late0") && callsFor("late0") > 1;
        accept(40, "denied");
        fleet.run(30_000);

        accept(1, "late");
        fleet.run(120_000);

        assertEquals(1, fleet.startsOf("late0").size());
    }

    /** Guards against steps that are denied wrongly at the same time and corrected one after another. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10})
    void shouldReviewInTimeWhenSomeStepsAskedWhileEntriesHadLapsedUnseen(int steps) {
        assertReviewedInTimeAfterUnseenLapses(steps);
    }

    /** Guards against the same for many steps. */
    @Test
    void shouldReviewInTimeWhenManyStepsAskedWhileEntriesHadLapsedUnseen() {
        assertReviewedInTimeAfterUnseenLapses(MANY_STEPS);
    }

    private void assertReviewedInTimeAfterUnseenLapses(int steps) {
        for (int i = 0; i < 8; i++) {
            fleet.with(worker("w" + i, 32_000));
        }
        fleet.run(1_100);
        Route shortCalls = route(1, 4, Optional.of(new AdviceSettings(80, 1.1, 2_000)));
        for (int i = 0; i < steps; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job("job" + i, shortCalls, step(1, 1_000).build()));
        }
        fleet.lapsed.addAll(fleet.workers.keySet());
        fleet.registryAway = true;
        fleet.run(1_200);
        fleet.lapsed.clear();
        fleet.registryAway = false;

        fleet.run(CALM_AND_HELD_MS);

        assertEquals(steps, fleet.started.size());
    }

    /** Guards against the same in a term that begins when the entries have just returned. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10})
    void shouldReviewInTimeWhenSomeStepsAskedAtTheBeginningOfATerm(int steps) {
        assertReviewedInTimeAtTheBeginningOfATerm(steps);
    }

    /** Guards against the same for many steps. */
    @Test
    void shouldReviewInTimeWhenManyStepsAskedAtTheBeginningOfATerm() {
        assertReviewedInTimeAtTheBeginningOfATerm(MANY_STEPS);
    }

    private void assertReviewedInTimeAtTheBeginningOfATerm(int steps) {
        for (int i = 0; i < 8; i++) {
            fleet.with(worker("w" + i, 32_000));
        }
        long knownAtMs = fleet.fixture.nowMs + RegistryPresence.SETTLING_MS;
        fleet.allows = (step, worker) -> fleet.fixture.nowMs >= knownAtMs;
        Route shortCalls = route(1, 4, Optional.of(new AdviceSettings(80, 1.1, 2_000)));
        for (int i = 0; i < steps; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job("job" + i, shortCalls, step(1, 1_000).build()));
        }

        fleet.run(RegistryPresence.SETTLING_MS + CALM_AND_HELD_MS);

        assertEquals(steps, fleet.started.size());
    }

    /** Guards against a lasting task that stands while short jobs use all calls, however much room there is. */
    @Test
    void shouldReviewInTimeWhenOtherStepsUseAllCalls() {
        fleet.durationMs = task -> task.job().startsWith("short") ? 500 : Long.MAX_VALUE / 2;
        fleet.with(worker("a", 64_000), worker("b", 64_000)).run(1_100);
        fleet.allows = (step, worker) -> !step.job().equals("lasting") || callsFor("lasting") > 1;
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "lasting", QUEUE, step(1, 1_000).longRunning(true).build()));
        fleet.run(20);
        for (int i = 0; i < 2 * CALM_AND_HELD_MS / 100; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job("short" + i, QUEUE, step(1, 1_000).build()));
            fleet.run(100);
        }

        assertEquals(1, fleet.startsOf("lasting").size());
    }

    /** Guards against denials that are kept longer each time an answer repeats them, past the disturbance. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 6_000, 8_000, 13_000})
    void shouldReviewInTimeWhenAnswersLackedTheWorkerForSeconds(long lackingMs) {
        fleet.with(worker("a", 4_000), worker("b", 4_000)).run(1_100);
        long untilMs = fleet.fixture.nowMs + lackingMs;
        fleet.allows = (step, worker) -> fleet.fixture.nowMs >= untilMs;
        accept(1, "job");

        fleet.run(lackingMs + CALM_AND_HELD_MS);

        assertEquals(1, fleet.startsOf("job0").size());
    }

    /** Guards against a waiting gang that loses the capacity it waits for while its denials are reviewed. */
    @Test
    void shouldKeepCapacityForAWaitingGangWhileItsDenialsAreReviewed() {
        fleet.with(worker("a", 4_000), unlabelled("b", 4_000), unlabelled("c", 12_000))
                .run(1_100);
        fleet.allows = (step, worker) -> step.job().equals("rest") ? worker.equals("c") : worker.equals("a");
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "rest", QUEUE, step(12, 1_000).estimateMs(60_000).build()));
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "before", QUEUE, step(4, 1_000).estimateMs(60_000).build()));
        fleet.run(3_000);
        assertEquals(16, fleet.started.size());
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "gang", QUEUE, step(4, 1_000).gang(true).estimateMs(60_000).build()));
        fleet.run(1_000);
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "small",
                route(2, 4, Optional.empty()),
                step(4, 1_000).label("a").estimateMs(60_000).build()));
        awaitCall("gang");

        fleet.run(100);
        endRuns("before", 2);
        fleet.run(200);
        endRuns("before", 4);
        fleet.run(CALM_AND_HELD_MS);

        assertEquals(4, fleet.startsOf("gang").size());
    }

    /** Guards against the same workers being asked about again and again while answers may be those of earlier calls. */
    @Test
    void shouldAskAboutOtherWorkersWhenAnswersAreAmbiguous() {
        fleet.fixture.scheduler.adviceHosts(List.of("h1"));
        for (int i = 0; i < 60; i++) {
            fleet.with(worker("w" + i, 1_500));
        }
        fleet.run(1_100);
        fleet.silentHosts = Set.of("h1");
        accept(1, "job");
        fleet.run(100);
        Set<String> first = Set.copyOf(fleet.adviceCalls.getFirst().workers());
        fleet.allows = (step, worker) -> !first.contains(worker);
        fleet.silentHosts = Set.of();

        fleet.run(CALM_AND_HELD_MS);

        assertEquals(1, fleet.startsOf("job0").size());
        long again = fleet.adviceCalls.stream()
                .filter(call -> first.containsAll(call.workers()))
                .count();
        // the lost call, and one whose answer may be that of the lost one
        assertTrue(again <= 2, "calls about the same workers " + again);
    }

    /** Guards against larger requests for the rest of a term since answers lacked lapsed workers once. */
    @Test
    void shouldNotRequestMoreWorkersAfterAnOutageThanBefore() {
        for (int i = 0; i < 60; i++) {
            fleet.with(worker("w" + i, 8_000));
        }
        fleet.run(1_100);
        accept(10, "before");
        fleet.run(3_000);
        int before = lastCall().workers().size();
        fleet.registryAway = true;
        fleet.lapsed.addAll(fleet.workers.keySet());
        accept(20, "during");
        fleet.run(4_000);
        fleet.registryAway = false;
        fleet.lapsed.clear();
        fleet.run(10_000);

        accept(1, "after");
        fleet.run(3_000);

        assertEquals(31, fleet.started.size());
        int after = lastCall().workers().size();
        assertTrue(after <= before + 1, "workers in a request: before " + before + ", after " + after);
    }

    /** Guards against a step that may not ask for a ticket of a worker that gets free, since it asks about denied ones. */
    @Test
    void shouldStartOnAnAllowedWorkerAsSoonAsWithoutAReview() {
        fleet.with(worker("a", 4_000), worker("b", 4_000), worker("c", 12_000)).run(1_100);
        fleet.allows = (step, worker) -> worker.equals("a");
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "before", QUEUE, step(4, 1_000).estimateMs(60_000).build()));
        fleet.run(1_500);
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "job", QUEUE, step(4, 1_000).estimateMs(60_000).build()));
        awaitCall("job");
        fleet.run(400);
        awaitCall("job");
        fleet.run(400);
        awaitCall("job");

        endRuns("before", 4);
        long freeAtMs = fleet.fixture.nowMs;
        fleet.run(3_000);

        assertEquals(4, fleet.startsOf("job").size());
        // a call about the one worker that gets free, and some ticks
        long waitedMs = fleet.startsOf("job").getFirst().atMs() - freeAtMs;
        assertTrue(waitedMs <= 375 + 5 * 20, "waited " + waitedMs);
    }

    /** Lets the first tasks of a job on worker a end now. */
    private void endRuns(String job, int tasks) {
        fleet.workers
                .get("a")
                .runs
                .replaceAll((task, run) -> task.job().equals(job) && task.index() < tasks
                        ? new SimulatedWorker.Run(run.number(), fleet.fixture.nowMs, run.kind())
                        : run);
    }

    private void awaitCall(String job) {
        long calls = callsFor(job);
        for (int i = 0; i < 1_000 && callsFor(job) == calls; i++) {
            fleet.run(20);
        }
    }

    private long callsFor(String job) {
        return fleet.adviceCalls.stream()
                .filter(call -> call.step().job().equals(job))
                .count();
    }

    private Effect.RequestAdvice lastCall() {
        return fleet.adviceCalls.getLast();
    }

    private void accept(int jobs, String name) {
        for (int i = 0; i < jobs; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job(name + i, QUEUE, step(1, 1_000).build()));
        }
    }

    private static WorkerEntry unlabelled(String id, long cpuMillis) {
        return new WorkerEntry(
                id,
                id + ":1",
                "domain-a",
                "catalogue",
                Resources.of(cpuMillis, 100_000, 0),
                Set.of("r1"),
                "r1",
                false,
                SchedulerFixture.INCARNATION);
    }
}
