package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.WorkerReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers short jobs while reachable workers leave some calls unanswered, or execute them seconds later. */
class LostAnswersTest {
    /** A call is overdue when it has had no answer for more than 300 ms after the time at which it was due. */
    private static final long OVERDUE_MS = 301;

    private static final long ESTIMATE_MS = 1_000;

    private final SchedulerFixture fixture =
            new SchedulerFixture(1).withWorkers(worker("a", 1_000), worker("b", 4_000));
    private Effect.Start first;

    @BeforeEach
    void startOneTask() {
        submit("first");
        first = fixture.starts().getFirst();
        assertEquals("a", first.worker());
    }

    private void submit(String id) {
        fixture.scheduler.accept(
                fixture.job(id, step(1, 500).estimateMs(ESTIMATE_MS).build()));
    }

    private <T extends Effect> List<T> tick(Class<T> type) {
        return fixture.tick().stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Effect.RenewLease renewalOf(String worker) {
        return fixture.effects.stream()
                .filter(Effect.RenewLease.class::isInstance)
                .map(Effect.RenewLease.class::cast)
                .filter(renewal -> renewal.worker().equals(worker))
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    private WorkerReport emptyReport() {
        return fixture.report(List.of(), List.of());
    }

    /** Answers the renewal in flight, so that the next one is sent with the run in the tables. */
    private void renewWithTheRun() {
        fixture.answerStart(first, StartOutcome.STARTED);
        fixture.leaseRenewed("a", List.of(SchedulerFixture.running(first)), List.of());
        fixture.tick();
    }

    @Test
    void shouldRenewTheLeaseWithAWaitThatEndsSoonAfterTheFirstExpectedEnd() {
        renewWithTheRun();

        long waitMs = renewalOf("a").waitMs();

        assertTrue(waitMs >= ESTIMATE_MS && waitMs <= ESTIMATE_MS + 300, "wait " + waitMs);
    }

    @Test
    void shouldProbeTheWorkerWhenARenewalIsOverdue() {
        renewWithTheRun();
        fixture.advance(renewalOf("a").waitMs());
        assertEquals(List.of(), tick(Effect.Probe.class));

        fixture.advance(OVERDUE_MS);

        assertEquals(List.of(new Effect.Probe("a", "a:1")), tick(Effect.Probe.class));
    }

    @Test
    void shouldEndTheJobWhenTheProbeReportsAnEndThatTheLostRenewalCarried() {
        renewWithTheRun();
        fixture.advance(renewalOf("a").waitMs() + OVERDUE_MS);
        fixture.tick();

        fixture.scheduler.probed(
                "a",
                fixture.report(List.of(), List.of(SchedulerFixture.end(1, first.task(), first.run(), EndKind.DONE))),
                fixture.nowMs);
        fixture.tick();

        assertEquals(0, fixture.scheduler.summary().runs());
    }

    @Test
    void shouldKeepTheWorkerInServiceWhenItAnsweredAProbeSinceTheLostRenewal() {
        renewWithTheRun();
        fixture.advance(renewalOf("a").waitMs() + OVERDUE_MS);
        fixture.tick();
        fixture.scheduler.probed(
                "a", fixture.report(List.of(SchedulerFixture.running(first)), List.of()), fixture.nowMs);
        fixture.advance(600);

        fixture.scheduler.leaseRenewalFailed("a", true);
        submit("second");

        assertEquals("a", fixture.starts().getFirst().worker());
        assertTrue(renewalOf("a").untilMs().isPresent());
    }

    @Test
    void shouldCountARenewalAsMissedWhenNothingWasHeardSinceItWasSent() {
        renewWithTheRun();
        fixture.advance(renewalOf("a").waitMs() + 900);

        fixture.scheduler.leaseRenewalFailed("a", true);
        submit("second");

        assertEquals("b", fixture.starts().getFirst().worker());
    }

    @Test
    void shouldStopTheRunAtOnceWhenTheProbeShowsThatAnUnansweredStartHasNotArrived() {
        fixture.advance(OVERDUE_MS);
        assertEquals(1, tick(Effect.Probe.class).size());
        fixture.scheduler.probed("a", emptyReport(), fixture.nowMs);

        List<Effect.Stop> stops = tick(Effect.Stop.class);

        assertEquals(List.of(new Effect.Stop("a", "a:1", first.task(), first.run())), stops);
    }

    @Test
    void shouldStartTheTaskAgainOnlyAfterAReportRequestedAfterTheStopLacksTheRun() {
        fixture.advance(OVERDUE_MS);
        fixture.tick();
        fixture.scheduler.probed("a", emptyReport(), fixture.nowMs);
        fixture.tick();
        fixture.scheduler.stopped("a", first.task(), first.run(), StopOutcome.STOPPED);
        long stoppedAtMs = fixture.nowMs;
        fixture.advance(SchedulerFixture.LIMITS.stopMs());
        assertEquals(List.of(), fixture.starts());
        fixture.advance(1);

        assertEquals(1, tick(Effect.Probe.class).size());
        fixture.scheduler.probed("a", emptyReport(), stoppedAtMs);
        assertEquals(List.of(), fixture.starts());
        fixture.scheduler.probed("a", emptyReport(), fixture.nowMs);

        Effect.Start again = fixture.starts().getFirst();
        assertEquals(first.task(), again.task());
        assertTrue(again.run() > first.run());
    }

    @Test
    void shouldLeaveTheRunAloneWhenTheReportWasRequestedBeforeTheOrderWasOverdue() {
        fixture.advance(OVERDUE_MS - 1);
        fixture.leaseRenewed("a", List.of(), List.of());

        assertEquals(List.of(), tick(Effect.Stop.class));
    }
}
