package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.LIMITS;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TakeoverTest {
    private static final TaskName FIRST = new TaskName("job", 0, 0, 0);
    private static final TaskName SECOND = new TaskName("job", 0, 0, 1);

    /** Workers that answer report the ends of an incomplete gang within 400 ms. */
    private static final long ENDS_OVERDUE_MS = 401;

    /** Returns a scheduler in its second term with a job of two tasks, the first of which was claimed on worker "a". */
    private static SchedulerFixture secondTerm() {
        return secondTerm(fixture -> fixture.job("job", step(2, 500).build()));
    }

    private static SchedulerFixture secondTerm(Function<SchedulerFixture, Job> jobOf) {
        SchedulerFixture fixture = new SchedulerFixture(2);
        Job job = jobOf.apply(fixture);
        WorkerClaims claims = new WorkerClaims("a", "a:1", INCARNATION, List.of(new WorkerClaims.Claim(FIRST, 1)));
        fixture.scheduler.restore(
                List.of(new StoredJob(job, Optional.empty(), false)), Map.of(), Set.of(), List.of(claims));
        fixture.scheduler.updateRegistry(List.of(worker("a", 1_000), worker("b", 1_000)), true);
        fixture.tick();
        fixture.leaseRenewed("b", List.of(), List.of());
        return fixture;
    }

    @Test
    void shouldStartOnlyWhatWasNotClaimedWhileAWorkerDoesNotAnswer() {
        SchedulerFixture fixture = secondTerm();
        fixture.scheduler.leaseRenewalFailed("a", true);

        List<Effect.Start> starts = fixture.confirmedStarts();

        assertEquals(List.of(SECOND), starts.stream().map(Effect.Start::task).toList());
        assertEquals("b", starts.getFirst().worker());
    }

    /** Guards against a task that runs twice because it was restarted so often in one term that its claim was ignored. */
    @ParameterizedTest
    @ValueSource(ints = {1, 999, 1_000, 1_001, 1_999, 2_000, 2_001, 2_050, 1_000_000, Integer.MAX_VALUE - 1})
    void shouldKeepAClaimWhateverTheNumberOfItsRun(int number) {
        SchedulerFixture fixture = new SchedulerFixture(2);
        Job job = fixture.job("job", step(1, 500).longRunning(true).build());
        WorkerClaims claims = new WorkerClaims("a", "a:1", INCARNATION, List.of(new WorkerClaims.Claim(FIRST, number)));
        fixture.scheduler.restore(
                List.of(new StoredJob(job, Optional.empty(), false)), Map.of(), Set.of(), List.of(claims));
        fixture.scheduler.updateRegistry(List.of(worker("a", 1_000), worker("b", 1_000)), true);
        fixture.tick();
        fixture.leaseRenewed("b", List.of(), List.of());
        assertEquals(List.of(), fixture.starts());

        fixture.leaseRenewed("a", List.of(), List.of(end(1, FIRST, number, EndKind.FAILED)));

        assertEquals(
                List.of(Math.max(number + 1, Tables.RUNS_PER_TERM + 1)),
                fixture.starts().stream().map(Effect.Start::run).toList());
    }

    @Test
    void shouldStartAClaimedTaskAgainOnlyWhenItsLeaseHasExpired() {
        SchedulerFixture fixture = secondTerm();
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.confirmedStarts();

        fixture.advance(LIMITS.predecessorLeaseMs() - 1);
        fixture.leaseRenewed("b", List.of(new ReportedRun(SECOND, 1_001, "", 10)), List.of());
        assertTrue(fixture.starts().isEmpty());

        fixture.advance(1);
        fixture.leaseRenewed("b", List.of(new ReportedRun(SECOND, 1_001, "", 10)), List.of());
        assertEquals(
                List.of(FIRST),
                fixture.starts().stream().map(Effect.Start::task).toList());
    }

    @Test
    void shouldKeepAClaimedRunThatItsWorkerReports() {
        SchedulerFixture fixture = secondTerm();
        fixture.advance(1);

        fixture.leaseRenewed("a", List.of(new ReportedRun(FIRST, 1, "", 50)), List.of());

        assertEquals(
                List.of(SECOND),
                fixture.starts().stream().map(Effect.Start::task).toList());
    }

    @Test
    void shouldStartAClaimedTaskAtOnceWhenItsWorkerDoesNotReportIt() {
        SchedulerFixture fixture = secondTerm();
        fixture.advance(1);

        fixture.leaseRenewed("a", List.of(), List.of());

        List<Effect.Start> starts = fixture.starts();
        assertEquals(2, starts.size());
        assertTrue(starts.stream().allMatch(start -> start.run() > 1));
    }

    @Test
    void shouldAcceptAnEndThatThePredecessorNeverReceived() {
        SchedulerFixture fixture = secondTerm();
        fixture.advance(1);

        fixture.leaseRenewed("a", List.of(), List.of(end(1, FIRST, 1, EndKind.DONE)));
        fixture.confirmedStarts();
        fixture.leaseRenewed("b", List.of(), List.of(end(1, SECOND, 1_001, EndKind.DONE)));
        fixture.tick();
        fixture.tick();

        assertEquals(JobState.COMPLETED, fixture.published.get("job"));
    }

    @Test
    void shouldSendNoOrderBeforeTheClaimIsRecorded() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.confirmSaves = false;
        fixture.scheduler.accept(fixture.job("job", step(1, 500).build()));

        assertTrue(fixture.starts().isEmpty());

        Effect.Save save = fixture.effects.stream()
                .filter(Effect.Save.class::isInstance)
                .map(Effect.Save.class::cast)
                .toList()
                .getLast();
        assertEquals(
                List.of(new WorkerClaims.Claim(FIRST, 1)),
                save.claims().getFirst().claims());
        fixture.scheduler.saved(save.batch());
        assertEquals(1, fixture.starts().size());
    }

    @Test
    void shouldSendNoStartOrderForAJobThatWasCancelledAfterItsClaim() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(fixture.job("job", step(1, 500).build()));
        fixture.tick();

        fixture.scheduler.cancel("job");

        assertTrue(fixture.starts().isEmpty());
    }

    /** Covers a leader that begins its term with a large fleet on a host that has just started. */
    @Test
    void shouldUseTheFirstWorkersWhileRenewalsOfTheOthersArePending() {
        SchedulerFixture fixture = new SchedulerFixture(1);
        WorkerEntry[] workers =
                IntStream.range(0, 260).mapToObj(i -> worker("w" + i, 10_000)).toArray(WorkerEntry[]::new);
        fixture.scheduler.updateRegistry(List.of(workers), true);
        fixture.scheduler.accept(fixture.job("first", step(1, 1_000).build()));

        List<Effect.RenewLease> firstRenewals = renewals(fixture.tick());
        assertTrue(firstRenewals.size() < workers.length / 5, "renewals: " + firstRenewals.size());
        fixture.leaseRenewed(firstRenewals.getFirst().worker(), List.of(), List.of());

        assertEquals(1, fixture.starts().size());
        int all = firstRenewals.size();
        for (int i = 0; i < 10; i++) {
            all += renewals(fixture.tick()).size();
        }
        assertTrue(all >= workers.length / 2);
    }

    private static List<Effect.RenewLease> renewals(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.RenewLease.class::isInstance)
                .map(Effect.RenewLease.class::cast)
                .toList();
    }

    /** Guards against remaining members of a gang that keep running as long as no host is available for advice. */
    @Test
    void shouldStopTheRemainingMembersOfAGangWhenNoHostIsAvailable() {
        AdviceSettings settings = new AdviceSettings(80, 1, 2_000);
        SchedulerFixture fixture = secondTerm(one -> one.job(
                "job",
                route(1, 4, Optional.of(settings)),
                step(2, 500).gang(true).build()));
        fixture.leaseRenewed("a", List.of(new ReportedRun(FIRST, 1, "", 10)), List.of());
        fixture.tick();

        fixture.advance(ENDS_OVERDUE_MS);
        fixture.tick();
        List<Effect> effects = fixture.tick();

        assertEquals(
                List.of(FIRST),
                effects.stream()
                        .filter(Effect.Stop.class::isInstance)
                        .map(effect -> ((Effect.Stop) effect).task())
                        .toList());
    }
}
