package org.acaciafold.fleet.scheduling;

import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StepSpec;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers tasks that need tickets when their worker is lost. */
class LostWorkerAdviceTest {
    private static final long MAX_AWAY_MS = 6_000;
    private static final long MAX_HELD_MS = 3_000;

    /** A call for one worker takes half a second, as on the users' queue of tasks that last. */
    private static final Route QUEUE = route(1, 4, Optional.of(new AdviceSettings(450, 6.5, 2_500)));

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    private static StepSpec lasting() {
        return step(1, 500).longRunning(true).build();
    }

    /** Guards against a call for advice that begins only when the whole lease of the lost worker has run out. */
    @Test
    void shouldStartATaskThatLastsAgainInTimeWhenItsWorkerIsLostAndItNeedsATicket() {
        startLastingTaskAndLoseItsWorker();
        long leftAtMs = fixture.nowMs;

        fleet.run(20_000);

        long awayMs = fleet.startsOf("lasting").get(1).atMs() - leftAtMs;
        assertTrue(awayMs <= MAX_AWAY_MS + MAX_HELD_MS, "away for " + awayMs + " ms");
    }

    /** Guards against calls that are repeated for as long as a lost worker's lease lasts. */
    @Test
    void shouldAskForAdviceOnceWhenAWorkerIsLost() {
        startLastingTaskAndLoseItsWorker();
        int before = fleet.adviceCalls.size();

        fleet.run(20_000);

        assertEquals(before + 1, fleet.adviceCalls.size());
    }

    /** Loses the worker right after its lease was renewed, as late as possible for the task. */
    private void startLastingTaskAndLoseItsWorker() {
        fleet.with(worker("a", 1_000)).run(1_000);
        fixture.scheduler.accept(fixture.job("lasting", QUEUE, lasting()));
        fleet.run(1_000);
        assertEquals(1, fleet.running("lasting"));
        IntStream.range(0, 8).forEach(i -> fleet.with(worker("b" + i, 1_000)));
        fleet.run(2_000);
        fixture.effects.clear();
        while (fixture.effects.stream().noneMatch(LostWorkerAdviceTest::renewsLease)) {
            fleet.run(20);
        }
        fleet.leave("a");
    }

    private static boolean renewsLease(Effect effect) {
        return effect instanceof Effect.RenewLease renewal && renewal.worker().equals("a");
    }
}
