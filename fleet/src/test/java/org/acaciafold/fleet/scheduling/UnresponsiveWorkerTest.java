package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.ReportedRun;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers short urgent jobs while some workers have just become unreachable, before any lease renewal has failed. */
class UnresponsiveWorkerTest {
    /** A start order is overdue when it has had no answer for more than 300 ms. */
    private static final long OVERDUE_MS = 301;

    private final SchedulerFixture fixture =
            new SchedulerFixture(1).withWorkers(worker("a", 1_000), worker("b", 4_000));
    private Effect.Start unanswered;

    /** Sends a start order to the worker with the least free capacity, which does not answer. */
    @BeforeEach
    void startWithoutAnAnswer() {
        submit("first");
        unanswered = fixture.starts().getFirst();
        assertEquals("a", unanswered.worker());
    }

    private void submit(String id) {
        fixture.scheduler.accept(fixture.job(id, step(1, 500).build()));
    }

    private List<Effect.Probe> probes() {
        return fixture.tick().stream()
                .filter(Effect.Probe.class::isInstance)
                .map(Effect.Probe.class::cast)
                .toList();
    }

    @Test
    void shouldStartOnAnotherWorkerWhenAnOrderGetsNoAnswer() {
        fixture.advance(OVERDUE_MS);
        assertEquals("a", probes().getFirst().worker());

        submit("second");

        assertEquals(
                List.of("b"),
                fixture.starts().stream().map(Effect.Start::worker).toList());
    }

    @Test
    void shouldUseTheWorkerAgainWhenItAnswersTheProbe() {
        fixture.advance(OVERDUE_MS);
        long requestedAtMs = fixture.nowMs;
        assertEquals(1, probes().size());
        ReportedRun running = new ReportedRun(unanswered.task(), unanswered.run(), "", 0);
        fixture.scheduler.probed("a", fixture.report(List.of(running), List.of()), requestedAtMs);

        submit("second");

        assertEquals(
                List.of("a"),
                fixture.starts().stream().map(Effect.Start::worker).toList());
        assertEquals(List.of(), probes());
    }

    @Test
    void shouldRenewNoLeaseOfAWorkerThatDoesNotAnswerTheProbe() {
        fixture.advance(OVERDUE_MS);
        fixture.tick();

        fixture.scheduler.probeFailed("a");
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.advance(1_000);

        List<Effect> effects = fixture.tick();
        assertTrue(effects.stream()
                .anyMatch(effect -> effect instanceof Effect.RenewLease renewal
                        && renewal.worker().equals("a")
                        && renewal.untilMs().isEmpty()));
    }
}
