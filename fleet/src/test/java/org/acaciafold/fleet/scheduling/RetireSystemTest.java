package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetireSystemTest {
    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));

    private List<Effect.Retire> retirements() {
        fixture.advance(RetireSystem.PERIOD_MS);
        return fixture.tick().stream()
                .filter(Effect.Retire.class::isInstance)
                .map(Effect.Retire.class::cast)
                .toList();
    }

    private Effect.Start started(Job job) {
        fixture.scheduler.accept(job);
        return fixture.confirmedStarts().getFirst();
    }

    @Test
    void shouldKeepOnlyTheStateWhenAnEndIsRecorded() {
        Effect.Start start = started(fixture.job("job", step(1, 500).build()));
        assertEquals(List.of(), retirements());
        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.DONE)));
        fixture.tick();

        assertEquals(
                JobState.COMPLETED, retirements().getFirst().jobs().get("job").state());
        fixture.scheduler.retired(Set.of("job"));

        assertEquals(Map.of("job", JobState.COMPLETED), fixture.scheduler.states());
        assertFalse(fixture.scheduler.accept(fixture.job("job", step(1, 500).build())));
        assertTrue(fixture.tick().stream()
                .anyMatch(effect -> effect instanceof Effect.Save save
                        && save.obsoleteProgress().equals(List.of("job"))));
    }

    @Test
    void shouldNotRetireACancelledJobWhileARunOfItMayExist() {
        Effect.Start start = started(fixture.job("job", step(1, 500).build()));
        fixture.scheduler.cancel("job");
        assertEquals(List.of(), retirements());

        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.STOPPED)));

        assertEquals(
                JobState.CANCELLED, retirements().getFirst().jobs().get("job").state());
    }

    @Test
    void shouldRetryWhenRecordsWereNotReplaced() {
        fixture.scheduler.accept(fixture.job("job", step(1, 500).build()));
        fixture.scheduler.cancel("job");
        fixture.tick();
        assertEquals(1, retirements().size());

        assertEquals(List.of(), retirements());
        fixture.advance(10_000);
        assertEquals(Set.of("job"), retirements().getFirst().jobs().keySet());
    }

    @Test
    void shouldRemoveAJobWhenItsRetentionPeriodIsOver() {
        EndedJob old = new EndedJob(JobState.COMPLETED, fixture.wallMs);
        SchedulerFixture later = new SchedulerFixture(2);
        later.scheduler.restore(List.of(), Map.of("job", old), Set.of(), List.of());
        later.advance(RetireSystem.RETAIN_MS);
        assertTrue(later.tick().stream().noneMatch(Effect.Retire.class::isInstance));

        later.advance(RetireSystem.PERIOD_MS);
        Effect.Retire retire = (Effect.Retire) later.tick().stream()
                .filter(Effect.Retire.class::isInstance)
                .findFirst()
                .orElseThrow();
        assertEquals(Map.of("job", old), retire.expired());
        later.scheduler.removed(Set.of("job"), Set.of());
        assertEquals(Map.of(), later.scheduler.states());
    }
}
