package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.RunEnd;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers the time after an overload: many jobs have expired, while jobs that can finish in time keep arriving. */
class OverloadTest {
    private static final int TASKS = 10;

    /** A job of one second expires after three times its objective, which is 3 s. */
    private static final long EXPIRES_AFTER_MS = 9_000;

    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 10_000));

    private Job single(String id) {
        return fixture.job(id, route(0, 4, Optional.empty()), step(1, 1_000).build());
    }

    private void answerRenewal(List<Effect.Start> running, List<RunEnd> ends) {
        fixture.leaseRenewed(
                "a", running.stream().map(SchedulerFixture::running).toList(), ends);
    }

    /** Fills the worker and leaves a backlog of expired jobs. */
    private List<Effect.Start> overload() {
        fixture.scheduler.accept(fixture.job("running", step(TASKS, 1_000).build()));
        List<Effect.Start> running = fixture.confirmedStarts();
        for (int i = 0; i < TASKS; i++) {
            fixture.scheduler.accept(single("late-" + i));
        }
        for (int i = 0; i <= EXPIRES_AFTER_MS / 1_000; i++) {
            fixture.advance(1_000);
            answerRenewal(running, List.of());
            fixture.tick();
        }
        return running;
    }

    @Test
    void shouldKeepCapacityFreeForJobsInTimeWhenOnlyExpiredOnesWait() {
        List<Effect.Start> running = new ArrayList<>(overload());
        Effect.Start ended = running.removeFirst();
        answerRenewal(running, List.of(end(1, ended.task(), ended.run(), EndKind.DONE)));
        assertEquals(List.of(), fixture.starts());

        fixture.scheduler.accept(single("new"));

        assertEquals(
                List.of("new"),
                fixture.starts().stream().map(start -> start.task().job()).toList());
    }

    @Test
    void shouldStartExpiredJobsWhenHalfOfTheCapacityIsFree() {
        List<Effect.Start> running = new ArrayList<>(overload());
        List<RunEnd> ends = new ArrayList<>();
        for (int i = 1; i <= TASKS / 2; i++) {
            Effect.Start ended = running.removeFirst();
            ends.add(end(i, ended.task(), ended.run(), EndKind.DONE));
        }
        answerRenewal(running, ends);

        List<Effect.Start> starts = fixture.starts();

        assertTrue(!starts.isEmpty());
        assertTrue(starts.stream().allMatch(start -> start.task().job().startsWith("late-")));
    }
}
