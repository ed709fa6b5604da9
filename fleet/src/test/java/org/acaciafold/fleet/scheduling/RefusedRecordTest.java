package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.WorkerClaims;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against one record that the store never takes, and that stops the starts of every job. */
class RefusedRecordTest {
    private static final long CLAIMS_REFUSED_PAUSE_MS = 5_000;

    private final SchedulerFixture fixture =
            new SchedulerFixture(1).withWorkers(worker("a", 4_000), worker("b", 1_000));

    private void submit(String id, int tasks, long cpuMillis) {
        fixture.scheduler.accept(fixture.job(
                id, route(1, 4, Optional.empty()), step(tasks, cpuMillis).build()));
    }

    private static long on(List<Effect.Start> starts, String worker) {
        return starts.stream().filter(start -> start.worker().equals(worker)).count();
    }

    @Test
    void shouldEndOnlyTheJobWhoseProgressIsRefused() {
        submit("large", 1, 500);
        submit("other", 1, 500);
        assertEquals(2, fixture.confirmedStarts().size());

        fixture.scheduler.progressRefused("large");
        fixture.tick();
        fixture.tick();

        assertEquals(JobState.FAILED, fixture.published.get("large"));
        assertEquals(JobState.RUNNING, fixture.published.get("other"));
        submit("next", 1, 500);
        assertEquals(1, fixture.confirmedStarts().size());
    }

    @Test
    void shouldOrderNoStartWhenItsClaimIsRefusedAndStartTheTaskElsewhere() {
        fixture.confirmSaves = false;
        submit("job", 1, 1_000);
        long batch = fixture.tick().stream()
                .filter(Effect.Save.class::isInstance)
                .map(effect -> ((Effect.Save) effect))
                .peek(save -> save.claims().forEach(claims -> fixture.scheduler.claimsRefused(claims.id())))
                .mapToLong(Effect.Save::batch)
                .max()
                .orElseThrow();
        fixture.scheduler.saved(batch);
        fixture.confirmSaves = true;

        List<Effect.Start> starts = fixture.starts();

        assertEquals(1, starts.size());
        fixture.answerStart(starts.getFirst(), StartOutcome.STARTED);
        fixture.advance(CLAIMS_REFUSED_PAUSE_MS);
        assertEquals(0, fixture.starts().size());
    }

    /** The bound on the runs of a worker keeps the record of its claims within a row. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 1})
    void shouldStartNoMoreRunsOnAWorkerThanItsRecordHolds(int beyond) {
        SchedulerFixture small = new SchedulerFixture(1).withWorkers(worker("a", 100_000));
        small.scheduler.accept(small.job(
                "job",
                route(1, 4, Optional.empty()),
                step(WorkerClaims.MAX_CLAIMS + beyond, 1)
                        .each(Resources.of(1, 1, 0))
                        .build()));

        List<Effect.Start> starts = small.confirmedStarts();

        assertEquals(Math.min(WorkerClaims.MAX_CLAIMS, WorkerClaims.MAX_CLAIMS + beyond), on(starts, "a"));
        assertTrue(small.confirmedStarts().isEmpty());
    }
}
