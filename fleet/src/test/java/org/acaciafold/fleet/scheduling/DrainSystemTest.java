package org.acaciafold.fleet.scheduling;

import java.util.Optional;

import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers tasks that last on workers that are about to leave. */
class DrainSystemTest {
    private final SimulatedFleet fleet = new SimulatedFleet();

    private void drain(String id) {
        WorkerEntry entry = fleet.workers.get(id).entry;
        fleet.workers.get(id).entry = changed(entry, entry.address(), true, INCARNATION);
    }

    /** Guards against tasks that are stopped on a worker that could run them for seconds, and then wait. */
    @Test
    void shouldStopOnlyAsManyTasksAsOtherWorkersHaveCapacityFor() {
        fleet.with(worker("a", 2_000)).run(1_000);
        fleet.fixture.scheduler.accept(fleet.fixture.job(
                "lasting",
                route(2, 4, Optional.empty()),
                step(4, 500).longRunning(true).build()));
        fleet.run(1_000).with(worker("b", 500)).run(1_000);
        drain("a");

        fleet.run(4_000);

        assertEquals(4, fleet.running("lasting"));
        assertEquals(3, fleet.workers.get("a").runs.size());
        assertEquals(5, fleet.startsOf("lasting").size());
    }
}
