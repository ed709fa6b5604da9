package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a job that runs since the store created it only after its cancellation had been acknowledged. */
class UnmatchedCancellationTest {
    private final SchedulerFixture fixture = new SchedulerFixture(2);

    @BeforeEach
    void registerWorker() {
        fixture.withWorkers(worker("a", 1_000));
    }

    private Job job() {
        return fixture.job("job", step(1, 500).build());
    }

    private Set<String> removals(long afterMs) {
        fixture.advance(afterMs);
        return fixture.tick().stream()
                .filter(Effect.Retire.class::isInstance)
                .map(effect -> ((Effect.Retire) effect).cancellations())
                .findFirst()
                .orElse(Set.of());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldStartNoTaskWhenTheJobAppearsAfterItsCancellation(boolean afterTakeover) {
        if (afterTakeover) {
            fixture.scheduler.restoreCancellations(Map.of("job", fixture.wallMs));
        } else {
            assertFalse(fixture.scheduler.cancel("job"));
        }
        assertEquals(Map.of(), fixture.scheduler.states());
        fixture.advance(6_000);
        fixture.leaseRenewed("a", List.of(), List.of());

        assertTrue(fixture.scheduler.accept(job()));

        assertEquals(List.of(), fixture.starts());
        assertEquals(JobState.CANCELLED, fixture.published.get("job"));
    }

    @Test
    void shouldRemoveTheRecordWhenTheJobDoesNotAppear() {
        fixture.scheduler.cancel("job");
        assertEquals(Set.of(), removals(RetireSystem.UNMATCHED_RETAIN_MS));
        assertEquals(Set.of("job"), removals(RetireSystem.PERIOD_MS));

        fixture.scheduler.removed(Set.of(), Set.of("job"));

        assertEquals(Set.of(), removals(RetireSystem.UNMATCHED_RETAIN_MS));
    }

    @Test
    void shouldRemoveTheRecordWhenTheClockOfItsHostIsFarAhead() {
        fixture.scheduler.restoreCancellations(Map.of("job", Long.MAX_VALUE));

        assertEquals(Set.of("job"), removals(RetireSystem.UNMATCHED_RETAIN_MS + RetireSystem.PERIOD_MS));
    }

    @Test
    void shouldRemoveTheRecordWhenTheJobHasEndedOtherwise() {
        fixture.scheduler.accept(job());
        Effect.Start start = fixture.confirmedStarts().getFirst();
        fixture.leaseRenewed("a", List.of(), List.of(end(1, start.task(), start.run(), EndKind.DONE)));
        fixture.tick();

        fixture.scheduler.cancel("job");

        assertEquals(JobState.COMPLETED, fixture.scheduler.states().get("job"));
        assertEquals(Set.of("job"), removals(RetireSystem.UNMATCHED_RETAIN_MS + RetireSystem.PERIOD_MS));
    }

    @Test
    void shouldKeepTheRecordWhenTheJobIsCancelled() {
        fixture.scheduler.accept(job());
        fixture.scheduler.cancel("job");
        fixture.tick();
        fixture.scheduler.cancel("job");

        assertEquals(Set.of(), removals(RetireSystem.UNMATCHED_RETAIN_MS + RetireSystem.PERIOD_MS));
    }
}
