package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Covers many short jobs on a large fleet, each of which waits for placement advice.
 *
 * <p>An advice call takes longer with each worker in it, so a short job must not query the whole fleet.
 */
class AdviceQueryPlannerTest {
    private static final int WORKERS = 260;
    private static final AdviceSettings SETTINGS = new AdviceSettings(15, 0.3, 2_500);

    /** The users count the time of one advice call about thirty workers as part of a job's own time. */
    private static final int WORKERS_IN_COUNTED_CALL = 30;

    private final SchedulerFixture fixture = new SchedulerFixture(1);

    private void registerWorkers(long cpuMillis) {
        fixture.withWorkers(IntStream.range(0, WORKERS)
                .mapToObj(i -> worker("w" + i, cpuMillis))
                .toArray(WorkerEntry[]::new));
        fixture.scheduler.adviceHosts(List.of("h1", "h2", "h3"));
    }

    private Effect.RequestAdvice requestedAdvice(String id, StepSpec.Builder step) {
        fixture.scheduler.accept(fixture.job(id, route(0, 4, Optional.of(SETTINGS)), step.build()));
        return fixture.tick().stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .map(Effect.RequestAdvice.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private void answerAdvice(Effect.RequestAdvice call, int everyNth) {
        List<Grant> grants = IntStream.range(0, call.workers().size())
                .filter(i -> i % everyNth == 0)
                .mapToObj(i -> new Grant(call.workers().get(i), "ticket"))
                .toList();
        fixture.scheduler.adviceAnswered(call.host(), call.step(), Optional.of(grants));
    }

    @ParameterizedTest
    @CsvSource({"1, false", "3, false", "8, false", "2, true", "8, true"})
    void shouldQueryNoMoreWorkersThanInACountedCallWhenMostAreAllowed(int tasks, boolean gang) {
        registerWorkers(32_000);

        Effect.RequestAdvice call = requestedAdvice("job", step(tasks, 7_400).gang(gang));

        int queriedWorkers = call.workers().size();
        assertTrue(
                queriedWorkers >= tasks / 4 && queriedWorkers <= WORKERS_IN_COUNTED_CALL,
                "queried workers: " + queriedWorkers);
    }

    @Test
    void shouldQueryMoreWorkersWhenFewWereAllowedBefore() {
        registerWorkers(32_000);
        Effect.RequestAdvice first = requestedAdvice("first", step(3, 20_000));
        answerAdvice(first, 3);
        for (int i = 0; i < 10; i++) {
            fixture.tick();
            answerAdvice(requestedAdvice("next-" + i, step(3, 20_000)), 3);
        }

        Effect.RequestAdvice later = requestedAdvice("later", step(3, 20_000));

        assertTrue(later.workers().size() > first.workers().size());
        assertTrue(later.workers().size() <= WORKERS_IN_COUNTED_CALL);
    }

    @Test
    void shouldRequestOnlyNewTicketsWhenTheAllowedWorkersAreKnown() {
        registerWorkers(32_000);
        fixture.confirmSaves = false;
        Effect.RequestAdvice first = requestedAdvice("job", step(2, 20_000));
        answerAdvice(first, 1);
        fixture.tick();
        fixture.advance(SETTINGS.validMs());
        IntStream.range(0, WORKERS).forEach(i -> fixture.leaseRenewed("w" + i, List.of(), List.of()));

        // claims whose save is unconfirmed are dropped when their tickets expire
        fixture.scheduler.saved(1);
        List<Effect> effects = fixture.tick();

        List<Effect.RequestAdvice> again = effects.stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .map(Effect.RequestAdvice.class::cast)
                .toList();
        assertEquals(1, again.size());
        assertTrue(again.getFirst().workers().size() <= 2);
        assertTrue(first.workers().containsAll(again.getFirst().workers()));
    }

    @Test
    void shouldQueryOtherWorkersWhenTooFewWereAllowed() {
        registerWorkers(32_000);
        Effect.RequestAdvice first = requestedAdvice("job", step(8, 20_000));
        answerAdvice(first, first.workers().size());

        Effect.RequestAdvice second = fixture.tick().stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .map(Effect.RequestAdvice.class::cast)
                .findFirst()
                .orElseThrow();

        assertTrue(second.workers().stream().noneMatch(first.workers()::contains));
    }
}
