package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.running;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers the record of a silent worker: what it holds, and how long a worker that answers again waits for it. */
class SilentWorkerRecordTest {
    private Effect.Start start;

    private static Job job(SchedulerFixture fixture) {
        return fixture.job("job", step(1, 500).longRunning(true).build());
    }

    private static List<Effect.Save> saves(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.Save.class::isInstance)
                .map(Effect.Save.class::cast)
                .toList();
    }

    private static List<Effect.RenewLease> renewals(List<Effect> effects, String worker) {
        return effects.stream()
                .filter(Effect.RenewLease.class::isInstance)
                .map(Effect.RenewLease.class::cast)
                .filter(one -> one.worker().equals(worker))
                .toList();
    }

    /** Guards against a whole long lease after a takeover: the record was written before the store's clock was known. */
    @Test
    void shouldTellOfShortLeasesAsSoonAsTheStoresClockIsKnown() {
        SchedulerFixture fixture = new SchedulerFixture(3).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(job(fixture));
        fixture.confirmedStarts();
        fixture.effects.clear();
        assertEquals(List.of(), saves(fixture.tick()));

        fixture.scheduler.storeClock(StoreClock.between(0, 1_000_000));
        List<Effect.Save> told = saves(fixture.tick());

        WorkerClaims record = told.getFirst().claims().getFirst();
        assertEquals(Optional.of(new WorkerClaims.ShortLeases(3, 1_000_000)), record.shortLeases());
        assertEquals(1, record.claims().size());
        assertEquals(List.of(), saves(fixture.tick()));
    }

    /** Guards against two runs at once: an answer to an order does not tell which incarnation has executed it. */
    @Test
    void shouldTellOnlyOfRunsThatTheWorkerHasListed() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.accept(job(fixture));
        start = fixture.confirmedStarts().getFirst();
        WorkerRow row = fixture.scheduler.tables.workers.get("a");
        assertEquals(0, SilenceSystem.record(row, fixture.scheduler.tables).listed());

        fixture.advance(100);
        fixture.leaseRenewed("a", List.of(running(start)), List.of());

        assertEquals(1, SilenceSystem.record(row, fixture.scheduler.tables).listed());
    }

    /** Guards against two runs at once: a successor trusts a record of short leases after a longer one was granted. */
    @Test
    void shouldGrantLongerLeasesOnlyOnceTheRecordSaysSo() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.storeClock(StoreClock.between(0, 1_000_000));
        fixture.scheduler.accept(job(fixture));
        start = fixture.confirmedStarts().getFirst();
        fixture.confirmSaves = false;
        fixture.advance(100);
        fixture.leaseRenewed(
                "a", List.of(), List.of(SchedulerFixture.end(1, start.task(), start.run(), EndKind.FAILED)));
        fixture.scheduler.cancel("job");
        List<Effect> effects = fixture.tick();
        WorkerRow row = fixture.scheduler.tables.workers.get("a");

        assertTrue(row.hasShortLeases());
        saves(effects).forEach(save -> fixture.scheduler.saved(save.batch()));
        saves(fixture.tick()).forEach(save -> fixture.scheduler.saved(save.batch()));

        assertFalse(row.hasShortLeases());
    }

    /** Guards against a task that runs twice: an address at which a worker never answered proves nothing of it. */
    @Test
    void shouldNotTakeAnAnswerAtAnAddressThatNeverAnsweredAsProofAfterATakeover() {
        SchedulerFixture first = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        first.scheduler.storeClock(StoreClock.between(0, 1_000_000));
        first.scheduler.accept(job(first));
        assertEquals(1, first.confirmedStarts().size());
        WorkerEntry foreign = changed(worker("a", 1_000), "b:1", false, INCARNATION + 1);
        first.scheduler.updateRegistry(List.of(foreign, worker("b", 4_000)), true);
        WorkerClaims record = saves(first.tick()).getFirst().claims().getFirst();
        assertTrue(record.silence().isPresent());
        first.advance(100);
        first.scheduler.incarnationEnded("a", first.nowMs);
        first.leaseRenewed("b", List.of(), List.of());
        assertEquals(0, first.starts().size(), "the leader that knows where the worker answered");

        SchedulerFixture next = new SchedulerFixture(2);
        next.scheduler.storeClock(StoreClock.between(1_000_000, 0));
        next.scheduler.restore(
                List.of(new StoredJob(job(next), Optional.empty(), false)), Map.of(), Set.of(), List.of(record));
        next.scheduler.updateRegistry(List.of(foreign, worker("b", 4_000)), true);
        next.tick();
        next.leaseRenewed("b", List.of(), List.of());
        next.advance(100);
        next.scheduler.incarnationEnded("a", next.nowMs);

        assertEquals(0, next.starts().size(), "its successor; address recorded: " + record.address());
    }

    /** Guards against a worker that is polled without a pause while the record of its answer is written. */
    @Test
    void shouldNotPollWithoutAPauseWhileTheAnswerIsRecorded() {
        SchedulerFixture fixture = silent();
        fixture.confirmSaves = false;
        fixture.leaseRenewed("a", List.of(running(start)), List.of());
        int polls = 0;
        for (int i = 0; i < 100; i++) {
            fixture.advance(10);
            for (Effect.RenewLease ignored : renewals(fixture.tick(), "a")) {
                polls++;
                fixture.leaseRenewed("a", List.of(running(start)), List.of());
            }
        }
        assertTrue(polls <= 10, polls + " polls in 1 s");
    }

    /** Guards against leases that run out on a worker that answers, since an orphan was found on it. */
    @Test
    void shouldGrantALeaseSoonToAWorkerThatAnswersAgainWithAnOrphan() {
        SchedulerFixture fixture = silent();
        fixture.advance(4_000);
        ReportedRun orphan = new ReportedRun(new TaskName("gone", 0, 0, 0), 1, "", 10);
        fixture.leaseRenewed("a", List.of(running(start), orphan), List.of());
        long waited = 0;
        for (; waited < 6_000; waited += 20) {
            fixture.advance(20);
            List<Effect.RenewLease> sent = renewals(fixture.tick(), "a");
            if (sent.stream().anyMatch(one -> one.untilMs().isPresent())) {
                break;
            }
            if (!sent.isEmpty()) {
                List<ReportedRun> running = new ArrayList<>(List.of(running(start)));
                if (waited < 400) {
                    running.add(orphan);
                }
                fixture.leaseRenewed("a", running, List.of());
            }
        }
        assertTrue(waited <= 500, "no lease for " + waited + " ms");
    }

    private SchedulerFixture silent() {
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));
        fixture.scheduler.storeClock(StoreClock.between(0, 1_000_000));
        fixture.scheduler.accept(job(fixture));
        start = fixture.confirmedStarts().getFirst();
        fixture.scheduler.leaseRenewalFailed("a", true);
        assertTrue(
                saves(fixture.tick()).getFirst().claims().getFirst().silence().isPresent());
        fixture.advance(1_000);
        return fixture;
    }
}
