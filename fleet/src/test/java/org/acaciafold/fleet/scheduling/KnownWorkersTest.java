package org.acaciafold.fleet.scheduling;

import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers gangs that know enough workers to wait for, while others are free. */
class KnownWorkersTest {
    /** A task must not wait longer while capacity for it is free twice over and less than half is in use. */
    private static final long MAX_HELD_MS = 3_000;

    private static final Route QUEUE = route(1, 4, Optional.of(new AdviceSettings(20, 1, 2_500)));

    private final SimulatedFleet fleet = new SimulatedFleet();
    private final SchedulerFixture fixture = fleet.fixture;

    private static WorkerEntry[] workers(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> worker(prefix + i, 1_000))
                .toArray(WorkerEntry[]::new);
    }

    /** Guards against a gang that waits for busy workers that it may use and never asks about free ones. */
    @Test
    void shouldAskAboutFreeWorkersWhenAGangKnowsEnoughBusyOnes() {
        fleet.allows = (step, worker) -> !worker.startsWith("denied");
        fleet.with(workers("busy", 10)).run(1_000);
        fixture.scheduler.accept(fixture.job("fills", step(10, 1_000).build()));
        fleet.run(500);
        assertEquals(10, fleet.running("fills"));
        fixture.scheduler.accept(
                fixture.job("gang", QUEUE, step(2, 1_000).gang(true).build()));
        fleet.run(1_000).with(workers("denied", 20)).run(4_000);
        assertEquals(0, fleet.running("gang"));
        fleet.with(workers("free", 4)).run(1_000);

        fleet.run(MAX_HELD_MS);

        assertEquals(2, fleet.running("gang"));
    }
}
