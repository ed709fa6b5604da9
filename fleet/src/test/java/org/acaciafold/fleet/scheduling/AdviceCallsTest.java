package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
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
}
