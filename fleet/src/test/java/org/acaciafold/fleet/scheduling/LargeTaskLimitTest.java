package org.acaciafold.fleet.scheduling;

import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers a task that fits its workspace's limit only as the one task beyond it, while others of the workspace start. */
class LargeTaskLimitTest {
    private static final long LIMIT_CPU_MILLIS = 4_000;
    private static final long SMALL_CPU_MILLIS = 50;
    private static final long LARGE_CPU_MILLIS = 2_900;
    private static final long SMALL_PERIOD_MS = 40;

    /** A job must not stand longer while less than half of its workspace's limit is used. */
    private static final long MAX_HELD_MS = 3_000;

    /** Small ones start every 100 ms or so, with each batch. */
    private static final long MAX_PAUSE_MS = 1_000;

    private final SimulatedFleet fleet = new SimulatedFleet().with(worker("a", 20_000), worker("b", 20_000));
    private int submitted;

    @BeforeEach
    void useLessThanHalfOfTheLimit() {
        fleet.fixture.scheduler.configure(SchedulerFixture.config(Resources.of(LIMIT_CPU_MILLIS, 0, 0)), Set.of());
        fleet.saveMs = 100;
        fleet.durationMs = task -> 1_000;
        submitSmallOnes(MAX_HELD_MS);
    }

    private void submitSmallOnes(long ms) {
        for (long passedMs = 0; passedMs < ms; passedMs += SMALL_PERIOD_MS) {
            fleet.fixture.scheduler.accept(fleet.fixture.job(
                    "small-" + submitted++, step(1, SMALL_CPU_MILLIS).build()));
            fleet.run(SMALL_PERIOD_MS);
            long used = fleet.workers.values().stream()
                    .mapToLong(worker -> worker.runs.size() * SMALL_CPU_MILLIS)
                    .sum();
            assertTrue(2 * used < LIMIT_CPU_MILLIS || fleet.running("large") > 0);
        }
    }

    /** Guards against a task that stands for as long as smaller ones of its workspace keep starting. */
    @Test
    void shouldStartALargeTaskInTimeWhenSmallOnesOfItsWorkspaceKeepStarting() {
        fleet.fixture.scheduler.accept(
                fleet.fixture.job("large", step(1, LARGE_CPU_MILLIS).build()));

        submitSmallOnes(MAX_HELD_MS);

        assertEquals(1, fleet.startsOf("large").size());
    }

    /** Guards against small ones that hold back again and again for a gang that its workspace's limit can never hold. */
    @Test
    void shouldStartSmallOnesInTimeWhenAGangWaitsThatExceedsTheLimitByMoreThanOneTask() {
        fleet.fixture.scheduler.accept(
                fleet.fixture.job("gang", step(3, LARGE_CPU_MILLIS).gang(true).build()));

        submitSmallOnes(2 * MAX_HELD_MS);

        assertEquals(0, fleet.startsOf("gang").size());
        assertTrue(longestPauseMs() < MAX_PAUSE_MS);
    }

    private long longestPauseMs() {
        long longestMs = 0;
        for (int i = 1; i < fleet.started.size(); i++) {
            longestMs = Math.max(
                    longestMs,
                    fleet.started.get(i).atMs() - fleet.started.get(i - 1).atMs());
        }
        return longestMs;
    }
}
