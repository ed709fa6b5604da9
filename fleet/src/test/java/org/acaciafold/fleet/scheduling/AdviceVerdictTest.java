package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers what a step remembers of the answers to its advice calls. */
class AdviceVerdictTest {
    private static final long MAX_HELD_MS = 3_000;
    private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 2_500);
    private static final Route QUEUE = route(1, 4, Optional.of(ADVICE));

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    private static WorkerEntry nextIncarnation(String id, long cpuMillis) {
        WorkerEntry entry = worker(id, cpuMillis);
        return changed(entry, entry.address(), false, INCARNATION + 5_000);
    }

    /** Guards against a worker that was down when advice was asked about it and is never asked about again. */
    @Test
    void shouldRequestAdviceAgainAboutAWorkerThatWasDownAndCameBack() {
        // the registry still lists the worker when the call is made
        fleet.with(worker("a", 4_000)).run(1_100);
        fleet.leave("a");
        fixture.scheduler.accept(fixture.job("job", QUEUE, step(1, 1_000).build()));
        fleet.run(200);
        assertEquals(1, fleet.adviceCalls.size());

        fleet.with(nextIncarnation("a", 4_000)).run(5_000 + MAX_HELD_MS);

        assertEquals(1, fleet.startsOf("job").size());
    }

    /** Guards against a worker that had lost its contact when advice was asked about it and is never asked about again. */
    @Test
    void shouldRequestAdviceAgainAboutAWorkerThatLeftTheRegistryAndCameBack() {
        fleet.with(worker("a", 4_000)).run(1_100);
        fleet.leave("a");
        fixture.scheduler.accept(fixture.job("job", QUEUE, step(1, 1_000).build()));
        fleet.run(1_000);
        assertEquals(1, fleet.adviceCalls.size());

        fleet.with(worker("a", 4_000)).run(5_000 + MAX_HELD_MS);

        assertEquals(1, fleet.startsOf("job").size());
    }

    /** Guards against a step that asks for good about the one worker that advice does not allow any more. */
    @Test
    void shouldRequestAdviceAboutOthersWhenAnAllowedWorkerIsNoLongerAllowed() {
        fleet.with(worker("a", 4_000)).run(1_000);
        fixture.scheduler.accept(
                fixture.job("job", QUEUE, step(1, 1_000).longRunning(true).build()));
        fleet.run(500);
        assertEquals(1, fleet.startsOf("job").size());
        fleet.allows = (step, worker) -> !worker.equals("a");

        fleet.with(nextIncarnation("a", 4_000), worker("b", 4_000)).run(5_000 + MAX_HELD_MS);

        assertEquals(2, fleet.startsOf("job").size());
    }

    /** Guards against workers that are denied because the late answer to an earlier call does not name them. */
    @Test
    void shouldNotTakeTheAnswerToAnAbandonedCallForThatToTheNextOne() {
        SchedulerFixture manual = new SchedulerFixture(1);
        StepName step = callAgainAfterAnAbandonedCall(manual);

        manual.scheduler.adviceAnswered("h1", step, Optional.of(List.of(new Grant("a", "ticket-a"))));
        manual.tick();
        manual.scheduler.adviceAnswered("h1", step, Optional.of(List.of(new Grant("b", "ticket-b"))));

        List<Effect.Start> starts = manual.starts();
        starts.forEach(start -> manual.answerStart(start, StartOutcome.STARTED));
        assertEquals(List.of("b"), starts.stream().map(Effect.Start::worker).toList());
    }

    /** Guards against workers that are denied because the late answer to an earlier call grants nothing. */
    @Test
    void shouldRequestAdviceAgainWhenALateAnswerWithoutGrantsMayBelongToAnEarlierCall() {
        SchedulerFixture manual = new SchedulerFixture(1);
        StepName step = callAgainAfterAnAbandonedCall(manual);

        manual.scheduler.adviceAnswered("h1", step, Optional.of(List.of()));
        onlyCall(manual.tick(), "b");
        manual.scheduler.adviceAnswered("h1", step, Optional.of(List.of(new Grant("b", "ticket-b"))));

        assertEquals(
                List.of("b"), manual.starts().stream().map(Effect.Start::worker).toList());
    }

    /** Guards against a call that counts as failed because an earlier one has failed late. */
    @Test
    void shouldWaitForTheAnswerWhenAnEarlierCallFailsLate() {
        SchedulerFixture manual = new SchedulerFixture(1);
        StepName step = callAgainAfterAnAbandonedCall(manual);

        manual.scheduler.adviceAnswered("h1", step, Optional.empty());
        manual.tick();
        manual.scheduler.adviceAnswered("h1", step, Optional.of(List.of(new Grant("b", "ticket-b"))));

        assertEquals(
                List.of("b"), manual.starts().stream().map(Effect.Start::worker).toList());
    }

    /** Guards against a gang that waits for workers that tasks without an end occupy, while new ones are free. */
    @Test
    void shouldRequestAdviceAboutNewWorkersWhenTheAllowedOnesStayOccupied() {
        for (int i = 0; i < 12; i++) {
            fleet.with(worker("a" + i, 1_000));
        }
        fleet.run(1_000);
        fixture.scheduler.accept(fixture.job(
                "lasting", step(12, 600).maxPerWorker(1).longRunning(true).build()));
        fleet.run(500);
        fixture.scheduler.accept(
                fixture.job("gang", QUEUE, step(2, 1_000).gang(true).build()));
        fleet.run(2_000);

        fleet.with(worker("b0", 1_000), worker("b1", 1_000)).run(1_000 + MAX_HELD_MS);

        assertEquals(2, fleet.running("gang"));
    }

    /** Lets the only host leave a call about one worker unanswered, and make the next one about another worker. */
    private static StepName callAgainAfterAnAbandonedCall(SchedulerFixture manual) {
        manual.withWorkers(worker("a", 4_000));
        manual.scheduler.adviceHosts(List.of("h1"));
        manual.scheduler.accept(manual.job("job", QUEUE, step(1, 1_000).build()));
        StepName step = onlyCall(manual.tick(), "a").step();
        manual.scheduler.updateRegistry(List.of(worker("b", 4_000)), true);
        manual.tick();
        manual.advance(2_000);
        manual.leaseRenewed("b", List.of(), List.of());
        manual.tick();
        manual.advance(1_000);
        onlyCall(manual.tick(), "b");
        return step;
    }

    private static Effect.RequestAdvice onlyCall(List<Effect> effects, String worker) {
        List<Effect.RequestAdvice> calls = effects.stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .map(Effect.RequestAdvice.class::cast)
                .toList();
        assertEquals(1, calls.size());
        assertEquals(List.of(worker), calls.getFirst().workers());
        return calls.getFirst();
    }
}
