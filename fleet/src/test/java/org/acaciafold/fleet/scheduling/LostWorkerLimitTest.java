package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers the limit of a workspace of which most runs are on a worker that does not answer. */
class LostWorkerLimitTest {
    private static final SchedulerLimits LIMITS = SchedulerLimits.of(10_000, 400, 0.1);
    private static final long LIMIT_CPU_MILLIS = 4_000;

    private final SchedulerFixture fixture = new SchedulerFixture(1, LIMITS).withWorkers(worker("a", 4_000));
    private List<Effect.Start> onA;

    @BeforeEach
    void fillMostOfTheLimitOnOneWorker() {
        fixture.scheduler.configure(SchedulerFixture.config(Resources.of(LIMIT_CPU_MILLIS, 0, 0)), Set.of());
        fixture.scheduler.accept(fixture.job("lost", step(8, 475).build()));
        onA = fixture.confirmedStarts();
        assertEquals(8, onA.size());
        fixture.withWorkers(worker("a", 4_000), worker("b", 8_000));
        fixture.leaseRenewed("a", onA.stream().map(SchedulerFixture::running).toList(), List.of());
    }

    private void submit(String id, int tasks, long cpuMillis, boolean gang) {
        fixture.scheduler.accept(
                fixture.job(id, step(tasks, cpuMillis).gang(gang).build()));
    }

    /** Guards against jobs that stand still for a whole lease since runs on a lost worker use up their workspace's limit. */
    @ParameterizedTest
    @CsvSource({"1, 500, false, 1", "3, 500, false, 1", "1, 700, false, 0", "2, 250, true, 2", "2, 400, true, 0"})
    void shouldStartOneTaskOfAJobWithNothingAtWorkWhenTheLimitIsHeldByALostWorker(
            int tasks, long cpuMillis, boolean gang, int starts) {
        fixture.scheduler.leaseRenewalFailed("a", true);
        submit("waiting", tasks, cpuMillis, gang);

        assertEquals(starts, fixture.confirmedStarts().size());
        assertEquals(0, fixture.starts().size());
    }

    /** Guards against use beyond the limit and the overage, since the worker may be cut off and its runs go on. */
    @Test
    void shouldStayWithinTheOverageWhenSeveralJobsWait() {
        fixture.scheduler.leaseRenewalFailed("a", true);
        for (String id : List.of("first", "second", "third", "fourth")) {
            submit(id, 1, 300, false);
        }

        assertEquals(2, fixture.confirmedStarts().size());
        assertEquals(0, fixture.starts().size());
    }

    @Test
    void shouldStayWithinTheLimitWhenItsWorkerAnswers() {
        submit("waiting", 1, 500, false);

        assertEquals(0, fixture.starts().size());
    }

    @Test
    void shouldStayWithinTheLimitWhenHalfOfItIsUsedOnWorkersThatAnswer() {
        SchedulerFixture other = new SchedulerFixture(1, LIMITS).withWorkers(worker("b", 8_000));
        other.scheduler.configure(SchedulerFixture.config(Resources.of(LIMIT_CPU_MILLIS, 0, 0)), Set.of());
        other.scheduler.accept(other.job("answering", step(1, 2_100).build()));
        List<Effect.Start> onB = other.confirmedStarts();
        other.withWorkers(worker("a", 1_500), worker("b", 8_000));
        other.scheduler.accept(other.job("lost", step(3, 475).build()));
        assertEquals(3, other.confirmedStarts().size());
        other.leaseRenewed("b", onB.stream().map(SchedulerFixture::running).toList(), List.of());
        other.scheduler.leaseRenewalFailed("a", true);

        other.scheduler.accept(other.job("waiting", step(1, 500).build()));

        assertEquals(0, other.starts().size());
    }

    /** Guards against use beyond the limit since workers that a new leader has not asked yet count as lost. */
    @Test
    void shouldNotTakeWorkersForLostThatWereNotAskedYet() {
        SchedulerFixture next = new SchedulerFixture(2, LIMITS);
        next.scheduler.configure(SchedulerFixture.config(Resources.of(LIMIT_CPU_MILLIS, 0, 0)), Set.of());
        List<WorkerClaims.Claim> claims = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            claims.add(new WorkerClaims.Claim(new TaskName("at-work", 0, 0, i), 1));
        }
        next.scheduler.restore(
                List.of(new StoredJob(next.job("at-work", step(8, 475).build()), Optional.empty(), false)),
                Map.of(),
                Set.of(),
                List.of(new WorkerClaims("a", "a:1", INCARNATION, claims)));
        next.scheduler.updateRegistry(List.of(worker("a", 4_000), worker("b", 8_000)), true);
        next.tick();
        next.leaseRenewed("b", List.of(), List.of());
        next.scheduler.accept(next.job("waiting", step(1, 500).build()));

        assertEquals(0, next.starts().size());
    }
}
