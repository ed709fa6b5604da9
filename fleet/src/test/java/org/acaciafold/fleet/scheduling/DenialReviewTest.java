package org.acaciafold.fleet.scheduling;

import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers what reviews of denials do to steps that wait beside others, and how soon a wrong denial is corrected. */
class DenialReviewTest {
    /** The contract asks after so long a calm whether a task has waited beside free capacity, for 3 s on end. */
    private static final long CALM_AND_HELD_MS = 4_000 + 3_000;

    private static final AdviceSettings ADVICE = new AdviceSettings(370, 5, 2_500);
    private static final Route QUEUE = route(1, 4, Optional.of(ADVICE));

    private final SimulatedFleet fleet = new SimulatedFleet();

    /** Guards against a step whose review never comes since older steps that no worker may run are always due again. */
    @ParameterizedTest
    @ValueSource(ints = 10)
    void shouldReviewADenialInTimeWhenOlderStepsAreDeniedForGood(int deniedForGood) {
        fleet.with(worker("a", 4_000), worker("b", 4_000)).run(1_100);
        fleet.allows = (step, worker) -> step.job().equals("late0") && callsFor("late0") > 1;
        accept(deniedForGood, "denied");
        fleet.run(30_000);

        accept(1, "late");
        fleet.run(400 + CALM_AND_HELD_MS);

        assertEquals(1, fleet.startsOf("late0").size());
    }

    /** Guards against many steps that are denied wrongly at the same time and corrected one after another. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10})
    void shouldReviewInTimeWhenManyStepsAskedWhileEntriesHadLapsedUnseen(int steps) {
        for (int i = 0; i < 8; i++) {
            fleet.with(worker("w" + i, 32_000));
        }
        fleet.run(1_100);
        Route shortCalls = route(1, 4, Optional.of(new AdviceSettings(80, 1.1, 2_000)));
        for (int i = 0; i < steps; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job("job" + i, shortCalls, step(1, 1_000).build()));
        }
        fleet.lapsed.addAll(fleet.workers.keySet());
        fleet.registryAway = true;
        fleet.run(1_200);
        fleet.lapsed.clear();
        fleet.registryAway = false;

        fleet.run(CALM_AND_HELD_MS);

        assertEquals(steps, fleet.started.size());
    }

    /** Guards against the same in a term that begins when the entries have just returned. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10})
    void shouldReviewInTimeWhenManyStepsAskedAtTheBeginningOfATerm(int steps) {
        for (int i = 0; i < 8; i++) {
            fleet.with(worker("w" + i, 32_000));
        }
        long knownAtMs = fleet.fixture.nowMs + RegistryPresence.SETTLING_MS;
        fleet.allows = (step, worker) -> fleet.fixture.nowMs >= knownAtMs;
        Route shortCalls = route(1, 4, Optional.of(new AdviceSettings(80, 1.1, 2_000)));
        for (int i = 0; i < steps; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job("job" + i, shortCalls, step(1, 1_000).build()));
        }

        fleet.run(RegistryPresence.SETTLING_MS + CALM_AND_HELD_MS);

        assertEquals(steps, fleet.started.size());
    }

    /** Guards against denials that are kept longer each time an answer repeats them, past the disturbance. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 6_000, 8_000})
    void shouldReviewInTimeWhenAnswersLackedTheWorkerForSeconds(long lackingMs) {
        fleet.with(worker("a", 4_000), worker("b", 4_000)).run(1_100);
        long untilMs = fleet.fixture.nowMs + lackingMs;
        fleet.allows = (step, worker) -> fleet.fixture.nowMs >= untilMs;
        accept(1, "job");

        fleet.run(lackingMs + CALM_AND_HELD_MS);

        assertEquals(1, fleet.startsOf("job0").size());
    }

    private long callsFor(String job) {
        return fleet.adviceCalls.stream()
                .filter(call -> call.step().job().equals(job))
                .count();
    }

    private void accept(int jobs, String name) {
        for (int i = 0; i < jobs; i++) {
            fleet.fixture.scheduler.accept(
                    fleet.fixture.job(name + i, QUEUE, step(1, 1_000).build()));
        }
    }
}
