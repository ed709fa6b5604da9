package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers workers that come back under the same identifier in another incarnation. */
class ReturningWorkerTest {
    private static final long MAX_HELD_MS = 3_000;

    /** All leases that a leader or its predecessor granted have run out after this time. */
    private static final long LEASES_EXPIRED_MS = 11_000;

    private static WorkerEntry worker(String address, long incarnation) {
        return new WorkerEntry(
                "a",
                address,
                "domain-a",
                "catalogue",
                Resources.of(4_000, 100_000, 0),
                Set.of("a", "r1"),
                "r1",
                false,
                incarnation);
    }

    /** Guards against a worker that is called at its earlier address for as long as the leader leads. */
    @Test
    void shouldUseAWorkerThatComesBackAtAnotherAddress() {
        SimulatedFleet fleet = new SimulatedFleet().with(worker("a:1", INCARNATION));
        fleet.run(1_000);
        fleet.with(worker("a:2", INCARNATION + 5_000)).run(LEASES_EXPIRED_MS);

        fleet.fixture.scheduler.accept(fleet.fixture.job("job", step(1, 1_000).build()));
        fleet.run(MAX_HELD_MS);

        assertEquals(1, fleet.startsOf("job").size());
    }

    /** Guards against a worker that a new leader calls at the address in the record of its claims. */
    @Test
    void shouldUseAWorkerWhoseClaimsWereRecordedAtAnotherAddress() {
        SimulatedFleet fleet = new SimulatedFleet(2).with(worker("a:2", INCARNATION + 5_000));
        WorkerClaims claims = new WorkerClaims("a", "a:1", INCARNATION, List.of());
        fleet.fixture.scheduler.restore(List.of(), Map.of(), Set.of(), List.of(claims));
        fleet.run(LEASES_EXPIRED_MS);

        fleet.fixture.scheduler.accept(fleet.fixture.job("job", step(1, 1_000).build()));
        fleet.run(MAX_HELD_MS);

        assertEquals(1, fleet.startsOf("job").size());
    }

    /** Guards against orders by the clock and the ends of an earlier incarnation whose last report comes late. */
    @Test
    void shouldNotUseAWorkerAtAnotherAddressWhenOnlyTheEarlierAddressHasAnswered() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a:1", INCARNATION));
        long requestedAtMs = fixture.nowMs;
        fixture.advance(500);
        fixture.scheduler.updateRegistry(List.of(worker("a:2", INCARNATION + 5_000)), true);
        fixture.scheduler.accept(fixture.job("job", step(1, 1_000).build()));

        fixture.scheduler.leaseRenewed("a", fixture.report(List.of(), List.of()), requestedAtMs);

        assertEquals(List.of(), fixture.starts());
        assertTrue(fixture.effects.contains(new Effect.RenewLease("a", "a:2", OptionalLong.empty(), 0, 0)));
        fixture.leaseRenewed("a", INCARNATION + 5_000, List.of(), List.of());
        fixture.answerRaisedToken("a", INCARNATION + 5_000);
        assertEquals("a:2", fixture.starts().getFirst().address());
    }

    /** Guards against an incarnation that gets no tasks because those of an earlier one failed. */
    @Test
    void shouldUseANewIncarnationOfAWorkerWhoseTasksFailed() {
        SimulatedFleet fleet = new SimulatedFleet().with(worker("a:1", INCARNATION));
        fleet.run(1_000);
        fleet.endKind = EndKind.FAILED;
        fleet.durationMs = task -> 100;
        for (int i = 0; i < 8; i++) {
            fleet.fixture.scheduler.accept(fleet.fixture.job(
                    "failing-" + i, route(1, 1, Optional.empty()), step(1, 100).build()));
        }
        fleet.run(1_000);
        fleet.endKind = EndKind.DONE;
        fleet.with(worker("a:1", INCARNATION + 2_000)).run(2_000);

        fleet.fixture.scheduler.accept(fleet.fixture.job("job", step(1, 1_000).build()));
        fleet.run(MAX_HELD_MS);

        assertEquals(1, fleet.startsOf("job").size());
    }
}
