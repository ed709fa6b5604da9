package org.acaciafold.fleet.scheduling;

import org.acaciafold.fleet.Effect;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers the acknowledgement of ends while a slow store takes longer for a batch than a worker for its next end. */
class SlowRecordTest {
    private static final long SAVE_MS = 700;
    private static final long SHORTEST_TASK_MS = 300;
    /** Far more than the time between two batches, so that some task ends in each. */
    private static final int TASK_SPREAD_MS = 2_000;

    private static final long PERIOD_MS = 40;
    private static final long LONG_MS = 15_000;

    private final SimulatedFleet fleet = new SimulatedFleet().with(worker("a", 20_000));

    /** Guards against ends that are recorded and never acknowledged, since further ones put all of them off. */
    @Test
    void shouldAcknowledgeRecordedEndsWhileFurtherOnesWaitToBeRecorded() {
        fleet.saveMs = SAVE_MS;
        fleet.durationMs = task -> SHORTEST_TASK_MS + Math.floorMod(task.job().hashCode(), TASK_SPREAD_MS);

        for (long passedMs = 0; passedMs < LONG_MS; passedMs += PERIOD_MS) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job("job-" + passedMs, step(1, 50).build()));
            fleet.run(PERIOD_MS);
        }

        assertTrue(lastAcknowledged() > 100, "acknowledged up to " + lastAcknowledged());
    }

    private long lastAcknowledged() {
        return fleet.fixture.effects.stream()
                .filter(Effect.RenewLease.class::isInstance)
                .mapToLong(effect -> ((Effect.RenewLease) effect).acknowledged())
                .max()
                .orElse(0);
    }
}
