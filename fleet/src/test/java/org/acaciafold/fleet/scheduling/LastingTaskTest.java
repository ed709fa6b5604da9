package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers tasks that last, which must run again 6 s after their last run, and 3 s later at the latest. */
class LastingTaskTest {
    private static final long MAX_AWAY_MS = 6_000;
    private static final long MAX_HELD_MS = 3_000;

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    private void submitLasting(String id, long cpuMillis) {
        fixture.scheduler.accept(fixture.job(
                id,
                route(2, 4, Optional.empty()),
                step(1, cpuMillis).longRunning(true).build()));
    }

    /** Guards against tasks that last and end by their own fault, and then set a sound worker aside for 12 s. */
    @Test
    void shouldStartATaskAgainWithinSecondsWhenTasksThatLastFailNowAndThen() {
        long workMs = 2_000;
        fleet.endKind = EndKind.FAILED;
        fleet.durationMs = task -> workMs;
        fleet.with(worker("a", 4_000)).run(1_000);
        submitLasting("first", 500);
        submitLasting("second", 500);

        fleet.run(40_000);

        List<SimulatedFleet.Started> starts = fleet.startsOf("first");
        long longestMs = 0;
        for (int i = 1; i < starts.size(); i++) {
            longestMs =
                    Math.max(longestMs, starts.get(i).atMs() - starts.get(i - 1).atMs() - workMs);
        }
        assertTrue(longestMs <= MAX_AWAY_MS, "away for " + longestMs + " ms");
    }

    /** Guards against a task that is away until the whole lease of a worker has run out that has left. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 600, 900, 1_200})
    void shouldStartATaskAgainInTimeWhenItsWorkerIsLost(long offsetMs) {
        fleet.with(worker("a", 1_000)).run(1_000);
        submitLasting("lasting", 500);
        fleet.run(1_000).with(worker("b", 4_000)).run(2_000 + offsetMs);
        fleet.leave("a");
        long leftAtMs = fixture.nowMs;

        fleet.run(20_000);

        long awayMs = fleet.startsOf("lasting").get(1).atMs() - leftAtMs;
        assertTrue(awayMs <= MAX_AWAY_MS + MAX_HELD_MS, "away for " + awayMs + " ms");
    }

    /** Guards against a task that stays on a worker that is about to leave, and is away for its whole lease then. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 600, 900, 1_200})
    void shouldStartATaskAgainInTimeWhenItsWorkerHasDrainedAndLeft(long offsetMs) {
        fleet.with(worker("a", 1_000)).run(1_000);
        submitLasting("lasting", 500);
        fleet.run(1_000).with(worker("b", 4_000)).run(1_000);
        WorkerEntry entry = worker("a", 1_000);
        fleet.workers.get("a").entry = changed(entry, entry.address(), true, INCARNATION);
        fleet.run(4_000 + offsetMs);
        fleet.leave("a");
        long leftAtMs = fixture.nowMs;

        fleet.run(20_000);

        long awayMs = fleet.startsOf("lasting").get(1).atMs() - leftAtMs;
        assertTrue(awayMs <= MAX_AWAY_MS + MAX_HELD_MS, "away for " + awayMs + " ms");
    }

    /** Guards against a task that is away for longer than any lease after its worker and the leader were lost. */
    @Test
    void shouldStartATaskAgainInTimeWhenItsWorkerIsLostTogetherWithTheLeader() {
        SimulatedFleet next = new SimulatedFleet(2).with(worker("b", 4_000));
        Job job = next.fixture.job(
                "lasting",
                route(2, 4, Optional.empty()),
                step(1, 500).longRunning(true).build());
        WorkerClaims claims = new WorkerClaims(
                "a", "a:1", INCARNATION, List.of(new WorkerClaims.Claim(new TaskName("lasting", 0, 0, 0), 1)));
        next.fixture.scheduler.restore(
                List.of(new StoredJob(job, Optional.empty(), false)), Map.of(), Set.of(), List.of(claims));
        long restoredAtMs = next.fixture.nowMs;

        next.run(20_000);

        long awayMs = next.startsOf("lasting").getFirst().atMs() - restoredAtMs;
        assertTrue(awayMs <= MAX_AWAY_MS + MAX_HELD_MS, "away for " + awayMs + " ms");
    }

    /** Guards against a task that waits in the usual order although it has been away for as long as its worker's lease. */
    @Test
    void shouldStartATaskFirstThatHasBeenAwayForTheLeaseOfItsWorker() {
        SchedulerFixture full = new SchedulerFixture(1).withWorkers(worker("a", 500), worker("b", 500));
        full.scheduler.accept(full.job(
                "lasting",
                route(2, 4, Optional.empty()),
                step(1, 500).longRunning(true).build()));
        String lost = full.confirmedStarts().getFirst().worker();
        full.scheduler.accept(full.job("other", step(1, 500).build()));
        Effect.Start other = full.confirmedStarts().getFirst();
        full.scheduler.leaseRenewalFailed(lost, true);
        for (long second = 0; second < MAX_AWAY_MS + MAX_HELD_MS; second += 1_000) {
            full.advance(1_000);
            full.leaseRenewed(other.worker(), List.of(SchedulerFixture.running(other)), List.of());
            full.tick();
        }
        full.scheduler.accept(
                full.job("urgent", route(0, 4, Optional.empty()), step(1, 500).build()));

        full.leaseRenewed(
                other.worker(), List.of(), List.of(SchedulerFixture.end(1, other.task(), other.run(), EndKind.DONE)));

        assertEquals(
                List.of("lasting"),
                full.starts().stream().map(start -> start.task().job()).toList());
    }

    /** Guards against capacity that a step keeps free for as long as its advice calls get no answer. */
    @Test
    void shouldStartATaskThatLastsWhileAnotherStepGetsNoAnswerToItsAdviceCalls() {
        AdviceSettings advice = new AdviceSettings(20, 1, 2_500);
        fleet.with(worker("a", 4_000)).run(1_000);
        fleet.durationMs = task -> task.job().equals("advised") ? 3_000 : Long.MAX_VALUE / 2;
        fleet.endKind = EndKind.FAILED;
        fixture.scheduler.accept(fixture.job(
                "advised",
                route(0, 9, Optional.of(advice)),
                step(3, 1_000).estimateMs(6_000).build()));
        fleet.run(1_000);
        assertEquals(3, fleet.running("advised"));
        fleet.adviceExtraMs = 60_000;
        fleet.run(3_000);
        submitLasting("lasting", 1_500);

        fleet.run(MAX_HELD_MS);

        assertEquals(0, fleet.running("advised"));
        assertEquals(Set.of("a"), fleet.workers.keySet());
        assertEquals(1, fleet.startsOf("lasting").size());
    }
}
