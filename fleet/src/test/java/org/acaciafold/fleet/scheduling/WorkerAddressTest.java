package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers workers that start again under their identifiers at other addresses. */
class WorkerAddressTest {
    private static final long RETRY_MS = 1_000;

    private static WorkerEntry moved(WorkerEntry entry) {
        return changed(entry, "new:1", false, INCARNATION + 1);
    }

    private static List<String> addresses(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.RenewLease.class::isInstance)
                .map(effect -> ((Effect.RenewLease) effect).address())
                .toList();
    }

    // the worker was called at its old address until the next term, so it got no task in this one
    @Test
    void shouldCallAWorkerAtItsNewAddressWhenItComesBackInTheSameTerm() {
        WorkerEntry entry = worker("a", 1_000);
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(entry);
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.scheduler.updateRegistry(List.of(moved(entry)), true);
        fixture.advance(RETRY_MS);

        List<Effect> effects = fixture.tick();

        assertEquals(List.of("new:1"), addresses(effects));
    }

    // the address in the record of claims was used even though the registry had the new one
    @Test
    void shouldCallAWorkerAtItsNewAddressWhenTheRecordOfClaimsHasTheOldOne() {
        SchedulerFixture fixture = new SchedulerFixture(2);
        fixture.scheduler.restore(
                List.of(), Map.of(), Set.of(), List.of(new WorkerClaims("a", "a:1", INCARNATION, List.of())));
        fixture.scheduler.updateRegistry(List.of(moved(worker("a", 1_000))), true);

        List<Effect> effects = fixture.tick();

        assertEquals(List.of("new:1"), addresses(effects));
    }
}
