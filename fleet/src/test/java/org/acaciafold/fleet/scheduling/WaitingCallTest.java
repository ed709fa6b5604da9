package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.EndKind;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers steps that wait for a call for advice while most of the capacity is free. */
class WaitingCallTest {
    /** A task must not wait longer while capacity for it is free twice over and less than half is in use. */
    private static final long MAX_HELD_MS = 3_000;

    private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 2_500);

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    /** Guards against capacity that a step keeps from others for as long as its calls for advice get no answer. */
    @Test
    void shouldStartATaskWhileAnotherStepGetsNoAnswerToItsCalls() {
        startAdvisedTasks();
        fleet.adviceExtraMs = 60_000;
        fleet.run(MAX_HELD_MS);
        fixture.scheduler.accept(fixture.job("single", step(1, 1_500).build()));

        fleet.run(MAX_HELD_MS);

        assertEquals(0, fleet.running("advised"));
        assertEquals(1, fleet.running("single"));
    }

    /** Guards against capacity that a step keeps from others for as long as no host is free to make its call. */
    @Test
    void shouldStartATaskWhileAnotherStepWaitsForAHostToMakeItsCall() {
        startAdvisedTasks();
        fixture.scheduler.adviceHosts(List.of());
        fleet.run(MAX_HELD_MS);
        fixture.scheduler.accept(fixture.job("single", step(1, 1_500).build()));

        fleet.run(MAX_HELD_MS);

        assertEquals(0, fleet.running("advised"));
        assertEquals(1, fleet.running("single"));
    }

    /** Starts tasks that fail after some seconds; the workers that their step may use are known then. */
    private void startAdvisedTasks() {
        fleet.with(worker("a", 4_000)).run(1_000);
        fleet.durationMs = task -> task.job().equals("advised") ? MAX_HELD_MS : Long.MAX_VALUE / 2;
        fleet.endKind = EndKind.FAILED;
        fixture.scheduler.accept(fixture.job(
                "advised",
                route(0, 9, Optional.of(ADVICE)),
                step(3, 1_000).estimateMs(6_000).build()));
        fleet.run(1_000);
        assertEquals(3, fleet.running("advised"));
    }
}
