package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EndSystemTest {
    private static final TaskName TASK = new TaskName("job", 0, 0, 0);

    @Test
    void shouldCountEveryFailedRunWhenWorkersReportThemOutOfOrder() {
        SchedulerFixture fixture = new SchedulerFixture(2);
        Job job = fixture.job("job", route(1, 2, Optional.empty()), step(1, 500).build());
        fixture.scheduler.restore(List.of(new StoredJob(job, Optional.empty(), false)), Map.of(), Set.of(), List.of());
        fixture.withWorkers(worker("a", 1_000), worker("b", 1_000));
        fixture.confirmedStarts();

        fixture.leaseRenewed("b", List.of(), List.of(end(1, TASK, 2, EndKind.FAILED)));
        fixture.leaseRenewed("a", List.of(), List.of(end(1, TASK, 1, EndKind.FAILED)));
        fixture.tick();
        fixture.tick();

        assertEquals(JobState.FAILED, fixture.published.get("job"));
    }

    @Test
    void shouldCountAFailedRunOnceWhenItIsReportedAgain() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(
                fixture.job("job", route(1, 2, Optional.empty()), step(1, 500).build()));
        fixture.confirmedStarts();

        fixture.leaseRenewed("a", List.of(), List.of(end(1, TASK, 1, EndKind.FAILED)));
        fixture.leaseRenewed("a", List.of(), List.of(end(1, TASK, 1, EndKind.FAILED), end(2, TASK, 1, EndKind.FAILED)));
        fixture.tick();

        assertNull(fixture.published.get("job") == JobState.FAILED ? JobState.FAILED : null);
    }

    @Test
    void shouldPublishAJobAsCompletedOnlyWhenItsLastEndIsRecorded() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(fixture.job("job", step(1, 500).build()));
        Effect.Start start = fixture.confirmedStarts().getFirst();
        fixture.confirmSaves = false;

        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.DONE)));
        List<Effect> effects = fixture.tick();
        assertEquals(JobState.RUNNING, fixture.published.get("job"));
        assertEquals(JobState.RUNNING, fixture.scheduler.states().get("job"));

        fixture.forEach(Effect.Save.class, effects, save -> fixture.scheduler.saved(save.batch()));
        fixture.tick();
        assertEquals(JobState.COMPLETED, fixture.published.get("job"));
        assertEquals(JobState.COMPLETED, fixture.scheduler.states().get("job"));
    }

    @Test
    void shouldAcknowledgeAnEndOnlyWhenItIsRecorded() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(fixture.job("job", step(1, 500).build()));
        Effect.Start start = fixture.confirmedStarts().getFirst();
        fixture.confirmSaves = false;

        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.DONE)));
        fixture.advance(600);
        List<Effect> before = fixture.tick();
        fixture.forEach(Effect.RenewLease.class, before, renewal -> assertEquals(0, renewal.acknowledged()));

        fixture.scheduler.saved(fixture.effects.stream()
                .filter(Effect.Save.class::isInstance)
                .map(Effect.Save.class::cast)
                .toList()
                .getLast()
                .batch());
        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.DONE)));
        List<Effect> after = fixture.tick();
        assertTrue(after.stream()
                .anyMatch(effect -> effect instanceof Effect.RenewLease renewal && renewal.acknowledged() == 1));
    }

    @Test
    void shouldAcknowledgeNothingWhenTheWorkerMayHaveRestarted() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(fixture.job("job", step(1, 500).build()));
        Effect.Start start = fixture.confirmedStarts().getFirst();
        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.DONE)));
        fixture.tick();
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.advance(1_100);

        List<Effect> after = fixture.tick();

        assertTrue(after.stream()
                .anyMatch(effect -> effect instanceof Effect.RenewLease renewal && renewal.acknowledged() == 0));
        assertTrue(after.stream()
                .noneMatch(effect -> effect instanceof Effect.RenewLease renewal && renewal.acknowledged() > 0));
    }

    /** Guards against unnecessary stop orders: a hundred gangs end each second, and their members end by themselves. */
    @Test
    void shouldStopMembersOfAGangThatIsDoneOnlyWhenTheyDoNotEndByThemselves() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000), worker("b", 1_000));
        fixture.scheduler.accept(fixture.job("gang", step(2, 1_000).gang(true).build()));
        List<Effect.Start> starts = fixture.confirmedStarts();
        Effect.Start first = starts.getFirst();
        fixture.leaseRenewed(first.worker(), List.of(), List.of(end(1, first.task(), first.run(), EndKind.DONE)));

        assertEquals(0, stops(fixture));

        fixture.advance(2_000);
        assertEquals(1, stops(fixture));
    }

    private static long stops(SchedulerFixture fixture) {
        return fixture.tick().stream().filter(Effect.Stop.class::isInstance).count();
    }
}
