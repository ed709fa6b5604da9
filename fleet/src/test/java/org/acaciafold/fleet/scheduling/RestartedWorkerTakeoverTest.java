package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.LIMITS;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against two runs at once, when a worker restarts just before its leader is lost, and is then cut off. */
class RestartedWorkerTakeoverTest {
    private static final TaskName TASK = new TaskName("job", 0, 0, 0);

    /** All leases have expired after this time, also one that a late call has granted. */
    private static final long ALL_LEASES_EXPIRED_MS = 26_000;

    private static final long LATER_MS = 300;
    private static final long CLOCK_DIFFERENCE_MS = 3_600_000;
    private static final long RESTART_PERIOD_MS = 5_000;

    private final SimulatedFleet next = new SimulatedFleet(2).with(worker("b", 1_000));

    private Job job() {
        return next.fixture.job("job", step(1, 1_000).build());
    }

    private WorkerEntry restarted(long ageMs) {
        WorkerEntry entry = worker("a", 1_000);
        return changed(entry, entry.address(), false, next.fixture.wallMs - ageMs);
    }

    private void restoreClaim(long strayLeaseEndsMs) {
        restoreClaim(strayLeaseEndsMs, 0);
    }

    private void restoreClaim(long strayLeaseEndsMs, int listed) {
        List<WorkerClaims.Claim> claims = List.of(new WorkerClaims.Claim(TASK, 1));
        WorkerClaims record = new WorkerClaims(
                "a", "a:1", INCARNATION, claims, Optional.empty(), strayLeaseEndsMs, Optional.empty(), listed);
        next.fixture.scheduler.restore(
                List.of(new StoredJob(job(), Optional.empty(), false)), Map.of(), Set.of(), List.of(record));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1400, 0", "14000, 0", "60000, 1"})
    void shouldWaitForTheLongestLeaseWhenTheWorkerHasRestartedSinceItsRecord(long ageMs, int startsInTime) {
        next.with(restarted(ageMs)).workers.get("a").reachable = false;
        restoreClaim(0);

        next.run(LIMITS.predecessorLeaseMs() + LATER_MS);
        assertEquals(startsInTime, next.startsOf("job").size());

        next.run(ALL_LEASES_EXPIRED_MS);
        assertEquals(1, next.startsOf("job").size());
    }

    /** Guards against a task that waits for late calls, though no order to start it can be among them. */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1"})
    void shouldStartATaskAgainAtOnceWhenTheIncarnationHasEndedThatHadListedItsRun(int listed, int starts) {
        next.with(restarted(500)).workers.get("a").reachable = false;
        restoreClaim(0, listed);

        next.run(1_000 + LATER_MS);

        assertEquals(starts, next.startsOf("job").size());
    }

    /** Guards against a task that stands for as long as the clock of a silent worker's host is ahead of the leader's. */
    @Test
    void shouldWaitNoLongerThanForTheLongestLeaseWhenTheClockOfTheRestartedWorkerIsAhead() {
        next.with(restarted(-CLOCK_DIFFERENCE_MS)).workers.get("a").reachable = false;
        restoreClaim(0);

        next.run(ALL_LEASES_EXPIRED_MS);

        assertEquals(1, next.startsOf("job").size());
    }

    /** Guards against a task that stands for as long as a silent worker restarts, since each restart begins a new wait. */
    @Test
    void shouldWaitNoLongerThanForTheLongestLeaseWhenTheSilentWorkerRestartsAgainAndAgain() {
        restoreClaim(0);

        for (long waitedMs = 0; waitedMs < ALL_LEASES_EXPIRED_MS; waitedMs += RESTART_PERIOD_MS) {
            next.with(restarted(0)).workers.get("a").reachable = false;
            next.run(RESTART_PERIOD_MS);
        }

        assertEquals(1, next.startsOf("job").size());
    }

    @Test
    void shouldWaitForTheLeaseThatItsPredecessorHasRecorded() {
        next.fixture.scheduler.storeClock(StoreClock.between(next.fixture.nowMs, 0));
        restoreClaim(next.fixture.nowMs + 15_000);

        next.run(15_000 - LATER_MS);
        assertEquals(0, next.startsOf("job").size());

        next.run(2 * LATER_MS);
        assertEquals(1, next.startsOf("job").size());
    }

    @Test
    void shouldStartNoSecondRunWhenACallOfThePredecessorHasReachedTheNewIncarnation() {
        next.leave("b");
        next.with(restarted(500));
        SimulatedWorker worker = next.workers.get("a");
        worker.clockRate = SchedulerLimits.SLOWEST_CLOCK;
        worker.renew(new Effect.RenewLease("a", "a:1", OptionalLong.of(1_000_000), 0, 0));
        next.fixture.scheduler.accept(job());
        while (next.running("job") == 0) {
            next.run(LATER_MS);
        }
        worker.reachable = false;
        next.with(worker("b", 1_000));

        next.run(ALL_LEASES_EXPIRED_MS);

        assertEquals(0, next.startedTwice);
        assertEquals(2, next.startsOf("job").size());
    }
}
