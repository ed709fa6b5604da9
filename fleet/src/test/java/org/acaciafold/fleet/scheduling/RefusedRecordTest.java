package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StartOutcome;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against one record that the store never takes, and that stops the starts of every job. */
class RefusedRecordTest {
    private static final long CLAIMS_REFUSED_PAUSE_MS = 5_000;

    private final SchedulerFixture fixture =
            new SchedulerFixture(1).withWorkers(worker("a", 4_000), worker("b", 1_000));

    private void submit(String id, int tasks, long cpuMillis) {
        fixture.scheduler.accept(fixture.job(
                id, route(1, 4, Optional.empty()), step(tasks, cpuMillis).build()));
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
}
