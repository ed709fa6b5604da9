package org.acaciafold.fleet.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers a worker that comes back while the removal of its record waits to be stored. */
class ReturnedWorkerRecordTest {
    private static Job job(SchedulerFixture fixture) {
        return fixture.job("job", step(1, 500).longRunning(true).build());
    }

    private static List<Effect.Save> saves(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.Save.class::isInstance)
                .map(Effect.Save.class::cast)
                .toList();
    }

    /** Guards against a claim that is removed with the record of an earlier stay of its worker. */
    @Test
    void shouldNotRemoveTheRecordOfAWorkerThatHasClaimsInTheSameBatch() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000), worker("b", 4_000));
        fixture.scheduler.accept(job(fixture));
        Effect.Start start = fixture.confirmedStarts().getFirst();
        assertEquals("a", start.worker());
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.scheduler.updateRegistry(List.of(worker("b", 4_000)), true);
        fixture.tick();
        fixture.advance(8_000);
        fixture.leaseRenewed("b", List.of(), List.of());
        fixture.confirmSaves = false;
        fixture.scheduler.accept(fixture.job("other", step(1, 500).build()));
        Effect.Save inFlight = saves(fixture.tick()).getFirst();
        fixture.advance(1_000);
        fixture.tick();
        fixture.scheduler.updateRegistry(List.of(worker("a", 1_000), worker("b", 4_000)), true);
        fixture.tick();
        fixture.leaseRenewed("a", List.of(), List.of());
        fixture.leaseRenewed("b", List.of(new ReportedRun(new TaskName("job", 0, 0, 0), 2, "", 1)), List.of());
        fixture.scheduler.accept(fixture.job("third", step(1, 500).build()));
        fixture.tick();
        fixture.scheduler.saved(inFlight.batch());
        Effect.Save next = saves(fixture.tick()).getFirst();

        Set<String> both = new HashSet<>(next.removedWorkers());
        assertTrue(next.claims().stream().anyMatch(one -> one.id().equals("a")), "set-up: claims on a: " + next);
        both.retainAll(next.claims().stream().map(WorkerClaims::id).toList());
        assertEquals(Set.of(), both);
    }
}
