package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Covers a burst of short urgent jobs while long advice calls of other jobs occupy most hosts: the few hosts that are
 * left must not be idle at the advice service while the answer of one call and the next call are on their way.
 */
class AdviceCallsTest {
    private static final AdviceSettings SHORT = new AdviceSettings(15, 0.2, 2_500);
    private static final AdviceSettings LONG = new AdviceSettings(400, 5, 2_500);
    private static final List<String> HOSTS = List.of("h1", "h2", "h3", "h4");

    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000_000));

    @BeforeEach
    void setHosts() {
        fixture.scheduler.adviceHosts(HOSTS);
    }

    /** Submits jobs and returns the hosts of the advice calls that follow within some ticks. */
    private List<String> submit(String prefix, int jobs, AdviceSettings advice) {
        for (int i = 0; i < jobs; i++) {
            fixture.scheduler.accept(fixture.job(
                    prefix + i, route(0, 4, Optional.of(advice)), step(1, 100).build()));
        }
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            fixture.forEach(Effect.RequestAdvice.class, fixture.tick(), request -> hosts.add(request.host()));
        }
        return hosts;
    }

    @Test
    void shouldQueueASecondShortCallOnTheHostThatLongCallsLeaveFree() {
        assertEquals(List.of("h1", "h2", "h3"), submit("long-", 4, LONG));

        assertEquals(List.of("h4", "h4"), submit("short-", 4, SHORT));
    }

    @Test
    void shouldUseIdleHostsBeforeItQueuesShortCalls() {
        assertEquals(List.of("h1", "h2", "h3", "h4"), submit("short-", 4, SHORT));
    }

    @Test
    void shouldNotQueueALongCallOnAHostWithAShortOne() {
        assertEquals(List.of("h1", "h2"), submit("short-", 2, SHORT));

        assertEquals(List.of("h3", "h4"), submit("long-", 4, LONG));
    }

    /** Guards against a free host that no step gets for as long as calls wait which are long by the workers they name. */
    @Test
    void shouldGiveTheFreeHostToAShortCallWhenOthersAreLongByTheWorkersTheyName() {
        SchedulerFixture large = new SchedulerFixture(1)
                .withWorkers(IntStream.range(0, 100)
                        .mapToObj(i -> worker("w" + i, 1_000))
                        .toArray(WorkerEntry[]::new));
        large.scheduler.adviceHosts(HOSTS);
        AdviceSettings byWorker = new AdviceSettings(150, 2, 2_500);
        for (int i = 0; i < 6; i++) {
            large.scheduler.accept(large.job(
                    "wide-" + i,
                    route(0, 4, Optional.of(byWorker)),
                    step(30, 1_000).build()));
        }
        large.scheduler.accept(
                large.job("short", route(1, 4, Optional.of(SHORT)), step(1, 100).build()));
        List<String> jobs = new ArrayList<>();

        for (int i = 0; i < 6; i++) {
            large.forEach(
                    Effect.RequestAdvice.class,
                    large.tick(),
                    request -> jobs.add(request.step().job()));
        }

        assertEquals(List.of("wide-0", "wide-1", "wide-2", "short"), jobs);
    }
}
