package org.acaciafold.fleet.scheduling;

import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers a large fleet that is full while many jobs, of a few sizes or of many, wait for free capacity. */
class TickCostTest {
    private static final int WORKERS = 100;
    private static final long CPU_MILLIS = 32_000;
    private static final int SIZES = 3;

    private static SchedulerFixture fullFleet() {
        WorkerEntry[] workers = IntStream.range(0, WORKERS)
                .mapToObj(i -> worker("w" + i, CPU_MILLIS))
                .toArray(WorkerEntry[]::new);
        SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(workers);
        fixture.scheduler.accept(
                fixture.job("filling", step(WORKERS, CPU_MILLIS - 500).build()));
        assertEquals(WORKERS, fixture.confirmedStarts().size());
        return fixture;
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void shouldSearchForCapacityOnceWhenJobsOfAFewSizesWait(int jobs) {
        SchedulerFixture fixture = fullFleet();
        for (int i = 0; i < jobs; i++) {
            long cpuMillis = 1_000 * (1 + i % SIZES);
            fixture.scheduler.accept(fixture.job(
                    "waits-" + i,
                    route(1, 4, Optional.empty()),
                    step(4, cpuMillis).build()));
        }

        assertEquals(0, fixture.starts().size());

        assertEquals(1, fixture.scheduler.lastTickCost().searches());
    }

    /** Guards against ticks whose cost grows with the backlog because hardly any two jobs request the same size. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void shouldSearchForCapacityOnceWhenTheSmallestOfAllSizesFitsNowhere(int jobs) {
        SchedulerFixture fixture = fullFleet();
        for (int i = 0; i < jobs; i++) {
            fixture.scheduler.accept(fixture.job(
                    "waits-" + i,
                    route(1, 4, Optional.empty()),
                    step(4, 1_000 + i).build()));
        }

        assertEquals(0, fixture.starts().size());

        assertEquals(1, fixture.scheduler.lastTickCost().searches());
    }

    /**
     * Guards against ticks whose cost grows with the backlog because each job requests less than the one before.
     *
     * <p>In that order, a size that fits nowhere does not rule out the next one.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void shouldSearchForCapacityOnceWhenEachJobRequestsLessThanTheOneBefore(int jobs) {
        SchedulerFixture fixture = fullFleet();
        for (int i = 0; i < jobs; i++) {
            fixture.scheduler.accept(fixture.job(
                    "waits-" + i,
                    route(1, 4, Optional.empty()),
                    step(4, CPU_MILLIS / 2 - i).build()));
        }

        assertEquals(0, fixture.starts().size());

        assertEquals(1, fixture.scheduler.lastTickCost().searches());
    }
}
