package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.ReportedRun;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.running;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers tasks behind a gang that waits for capacity. */
class GangReservationTest {
    /** A task that could run must not stand still for longer than this. */
    private static final long STANDSTILL_MS = 3_000;

    private static List<String> jobs(List<Effect.Start> starts) {
        return starts.stream().map(start -> start.task().job()).toList();
    }

    // a gang that no number of empty workers could hold kept all workers free for ever, so nothing behind it started
    @Test
    void shouldStartOtherTasksWhenAGangIsTooWideForAllItsWorkers() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 4_000), worker("b", 4_000));
        fixture.scheduler.accept(fixture.job("wide", step(3, 4_000).gang(true).build()));
        fixture.tick();
        fixture.scheduler.accept(fixture.job("small", step(1, 500).build()));

        List<Effect.Start> starts = fixture.starts();

        assertEquals(List.of("small"), jobs(starts));
    }

    // while a gang's worker did not answer, workers were kept free that are too small for any of its members
    @Test
    void shouldStartOtherTasksOnWorkersTooSmallForAnyMemberWhenTheLargeOnesAreLost() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 8_000), worker("b", 1_000));
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.scheduler.accept(fixture.job("gang", step(1, 8_000).gang(true).build()));
        fixture.tick();
        fixture.scheduler.accept(fixture.job("small", step(1, 500).build()));

        List<Effect.Start> starts = fixture.starts();

        assertEquals(List.of("small"), jobs(starts));
    }

    // a gang that waits for the place of a task that lasts kept the worker free for as long as that task ran
    @Test
    void shouldStartOtherTasksWhenAGangWaitsForTasksThatLast() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 8_000));
        fixture.scheduler.accept(
                fixture.job("lasting", step(1, 1_000).longRunning(true).build()));
        List<ReportedRun> lasting = List.of(running(fixture.confirmedStarts().getFirst()));
        fixture.scheduler.accept(fixture.job("gang", step(1, 8_000).gang(true).build()));
        fixture.tick();
        fixture.scheduler.accept(fixture.job("small", step(1, 500).build()));
        List<Effect.Start> starts = new ArrayList<>(fixture.starts());

        fixture.advance(STANDSTILL_MS);
        fixture.leaseRenewed("a", lasting, List.of());
        starts.addAll(fixture.starts());

        assertEquals(List.of("small"), jobs(starts));
    }
}
