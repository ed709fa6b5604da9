package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tasks that wait for the lease of a crashed worker although another one answers at its address. */
class ReplacedWorkerTest {
    /** Tasks that last run again within this time of the proof that their worker is gone. */
    private static final long BACK_MS = 2_000;

    /** A crashed machine has a new worker after about this time. */
    private static final long REPLACED_AFTER_MS = 3_300;

    /** All leases of a silent worker have run out after this time. */
    private static final long LEASES_EXPIRED_MS = 9_500;

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    private static Job lasting(SchedulerFixture fixture) {
        return fixture.job(
                "lasting",
                route(2, 4, Optional.empty()),
                step(1, 500).longRunning(true).build());
    }

    /** Returns an entry of another worker at the address of worker a. */
    private static WorkerEntry successorOfA(long cpuMillis) {
        return at("a:1", worker("b", cpuMillis));
    }

    private static WorkerEntry at(String address, WorkerEntry entry) {
        return changed(entry, address, false, entry.incarnation());
    }

    private void startLastingOnA() {
        fleet.with(worker("a", 1_000)).run(1_000);
        fixture.scheduler.accept(lasting(fixture));
        fleet.run(1_000);
        assertEquals("a", fleet.startsOf("lasting").getFirst().worker());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 300, 600, 900, 1_200})
    void shouldStartATaskAgainSoonWhenAnotherWorkerHasTheAddressOfItsWorker(long offsetMs) {
        startLastingOnA();
        fleet.run(offsetMs).leave("a");
        fleet.run(REPLACED_AFTER_MS);
        long replacedAtMs = fixture.nowMs;

        fleet.with(successorOfA(1_000)).run(BACK_MS);

        List<SimulatedFleet.Started> starts = fleet.startsOf("lasting");
        assertEquals(2, starts.size());
        long awayMs = starts.get(1).atMs() - replacedAtMs;
        assertTrue(awayMs <= BACK_MS, "away for " + awayMs + " ms after the proof");
    }

    /** The crash may be so short that the leader has not missed the worker. */
    @Test
    void shouldStartATaskAgainSoonWhenItsWorkerIsReplacedAtOnce() {
        startLastingOnA();
        fleet.leave("a");

        fleet.with(successorOfA(1_000)).run(BACK_MS);

        assertEquals(2, fleet.startsOf("lasting").size());
    }

    @Test
    void shouldStartATaskAgainSoonWhenTheClaimsOfAnEarlierLeaderNameTheReplacedWorker() {
        SimulatedFleet next = new SimulatedFleet(2).with(successorOfA(1_000));
        WorkerClaims claims = new WorkerClaims(
                "a", "a:1", INCARNATION, List.of(new WorkerClaims.Claim(new TaskName("lasting", 0, 0, 0), 1)));
        next.fixture.scheduler.restore(
                List.of(new StoredJob(lasting(next.fixture), Optional.empty(), false)),
                Map.of(),
                Set.of(),
                List.of(claims));

        next.run(BACK_MS);

        assertEquals(1, next.startsOf("lasting").size());
    }

    /** Guards against a proof that waits until a call to the former worker, which nobody answers, has timed out. */
    @Test
    void shouldAskAtOnceWhenAnotherWorkerComesToTheAddressOfASilentOne() {
        SchedulerFixture silent = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        silent.scheduler.accept(lasting(silent));
        silent.confirmedStarts();
        silent.scheduler.leaseRenewalFailed("a", true);
        silent.advance(BACK_MS);
        silent.tick();

        silent.scheduler.updateRegistry(List.of(successorOfA(1_000)), true);

        List<String> asked = silent.tick().stream()
                .filter(Effect.Probe.class::isInstance)
                .map(effect -> ((Effect.Probe) effect).worker())
                .toList();
        assertEquals(List.of("a"), asked);
        assertEquals(
                List.of(),
                silent.tick().stream().filter(Effect.Probe.class::isInstance).toList());
    }

    /** A worker that is only cut off runs on; nobody else has its address, so nothing may start in its place. */
    @Test
    void shouldWaitForTheLeaseWhenNobodyAnswersAtTheAddress() {
        startLastingOnA();
        fleet.with(worker("b", 1_000)).workers.get("a").reachable = false;

        fleet.run(LEASES_EXPIRED_MS);

        assertEquals(2, fleet.startsOf("lasting").size());
        long awayMs = fleet.startsOf("lasting").get(1).atMs();
        assertEquals(
                EndKind.LAPSED,
                fleet.workers.get("a").report(awayMs).ends().getFirst().kind());
    }

    /** An entry of another writer may send calls to an address that the worker never had. */
    @Test
    void shouldWaitForTheLeaseWhenTheEntryHasBeenSetToTheAddressOfAnotherWorker() {
        startLastingOnA();
        fleet.with(worker("b", 1_000));
        fleet.workers.get("a").reachable = false;
        fleet.run(2_000);
        fleet.workers.get("a").entry = at("b:1", worker("a", 1_000));

        fleet.run(4_000);

        assertEquals(1, fleet.startsOf("lasting").size());
    }

    @Test
    void shouldIgnoreTheAnswerToACallFromBeforeTheLastReportOfTheWorker() {
        startLastingOnA();

        fixture.scheduler.incarnationEnded("a", fixture.nowMs - 1_000);
        fleet.run(1_000);

        assertEquals(1, fleet.running("lasting"));
        assertEquals(1, fleet.startsOf("lasting").size());
    }
}
