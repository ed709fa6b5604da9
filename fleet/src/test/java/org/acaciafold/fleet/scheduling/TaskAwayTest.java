package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers what tells operators which lease keeps a task that lasts from running again. */
class TaskAwayTest {
    /** An incarnation of this age has a clock that is far ahead of that of the next one. */
    private static final long AGE_MS = 60_000;

    /** The contract owes a task that lasts a run within this time after its last one. */
    private static final long MAX_AWAY_MS = 9_000;

    private static final long ALL_LEASES_EXPIRED_MS = 26_000;

    private final LoggedLines lines = LoggedLines.of(LeaseExpiry.class);
    private final WorkerEntry entry = worker("a", 1_000);

    @AfterEach
    void close() {
        lines.close();
    }

    private static Job lasting(SimulatedFleet fleet) {
        return fleet.fixture.job("job", step(1, 1_000).longRunning(true).build());
    }

    private SimulatedFleet running() {
        SimulatedFleet fleet = new SimulatedFleet().with(entry).run(AGE_MS);
        fleet.fixture.scheduler.accept(lasting(fleet));
        return fleet.run(2_000);
    }

    /** Returns a fleet whose leader holds the task on a worker that does not answer, by one kind of lease. */
    private SimulatedFleet held(LeaseBound bound) {
        return switch (bound) {
            case GRANTED -> running();
            case PREDECESSOR -> successor();
            case STRAY -> {
                SimulatedFleet fleet = new SimulatedFleet().with(entry).run(AGE_MS);
                fleet.with(changed(entry, entry.address(), false, INCARNATION + fleet.fixture.nowMs));
                fleet.fixture.scheduler.accept(lasting(fleet));
                while (fleet.running("job") == 0) {
                    fleet.run(20);
                }
                yield fleet;
            }
        };
    }

    private SimulatedFleet successor() {
        SimulatedFleet next = new SimulatedFleet(2).with(entry);
        WorkerClaims.Claim claim = new WorkerClaims.Claim(new TaskName("job", 0, 0, 0), 1);
        WorkerClaims record = new WorkerClaims("a", "a:1", INCARNATION, List.of(claim), Optional.empty(), 0);
        next.fixture.scheduler.storeClock(StoreClock.between(next.fixture.nowMs, 0));
        next.fixture.scheduler.restore(
                List.of(new StoredJob(lasting(next), Optional.empty(), false)), Map.of(), Set.of(), List.of(record));
        return next;
    }

    @ParameterizedTest
    @EnumSource
    void shouldTellWhichLeaseHeldARunWhenItIsGivenBack(LeaseBound bound) {
        SimulatedFleet fleet = held(bound);
        fleet.leave("a");

        fleet.run(ALL_LEASES_EXPIRED_MS);

        List<String> told = lines.startingWith("lease expired worker=a runs=1 lasting=true");
        assertEquals(1, told.size());
        assertTrue(told.getFirst().endsWith(" bound=" + bound), told.getFirst());
    }

    @Test
    void shouldCountATaskWhenItIsAwayForLongerThanTheContractAllows() {
        SimulatedFleet fleet = held(LeaseBound.STRAY);
        fleet.leave("a");

        fleet.run(MAX_AWAY_MS - 1_000);
        assertEquals(Map.of(), Diagnosis.of(fleet.fixture.scheduler).away());

        fleet.run(2_000);
        assertEquals(Map.of("STRAY", 1), Diagnosis.of(fleet.fixture.scheduler).away());
    }
}
