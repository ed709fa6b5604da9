package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against registry entries of another writer that no worker answers for. */
class UnansweredEntriesTest {
    private final SchedulerFixture fixture = new SchedulerFixture(1);

    private static WorkerEntry at(WorkerEntry entry, String address) {
        return changed(entry, address, entry.draining(), entry.incarnation());
    }

    private List<String> renewedAt() {
        return fixture.tick().stream()
                .filter(Effect.RenewLease.class::isInstance)
                .map(effect -> ((Effect.RenewLease) effect).address())
                .toList();
    }

    @Test
    void shouldCallTheNewAddressWhenTheFirstEntryHeldAWrongOne() {
        WorkerEntry right = SchedulerFixture.worker("a", 1_000);
        fixture.scheduler.updateRegistry(List.of(at(right, "10.9.9.9:9")), true);
        assertEquals(List.of("10.9.9.9:9"), renewedAt());
        fixture.scheduler.leaseRenewalFailed("a", true);

        fixture.scheduler.updateRegistry(List.of(right), true);

        fixture.advance(1_000);
        assertEquals(List.of(right.address()), renewedAt());
    }

    @Test
    void shouldKeepTheAddressWhenTheWorkerAnswersThere() {
        WorkerEntry right = SchedulerFixture.worker("a", 1_000);
        fixture.withWorkers(right);
        fixture.leaseRenewed("a", List.of(), List.of());

        fixture.scheduler.updateRegistry(List.of(at(right, "10.9.9.9:9")), true);

        assertEquals(List.of(right.address()), renewedAt());
    }

    @Test
    void shouldNotCountTheCapacityOfWorkersThatNeverAnswered() {
        WorkerRow answering = new WorkerRow("a", "a:1", 1);
        answering.register(SchedulerFixture.worker("a", 1_000), 0);
        answering.lastContactAtMs = 1;
        answering.used = Resources.of(900, 0, 0);
        WorkerRow unknown = new WorkerRow("b", "b:1", 1);
        unknown.register(SchedulerFixture.worker("b", 1_000_000_000), 0);

        assertEquals(0.9, FleetUtilization.of(List.of(answering, unknown)).usedShare("catalogue"), 1e-9);
    }
}
