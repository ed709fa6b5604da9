package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Covers the return of all hosts after a pause.
 *
 * <p>The jobs submitted meanwhile wait for advice, and each of them requests a different size.
 */
class BacklogTest {
    private static final int WORKERS = 246;
    private static final long CPU_MILLIS = 64_000;
    private static final AdviceSettings SETTINGS = new AdviceSettings(80, 1.1, 2_000);
    private static final List<String> HOSTS = List.of("h1", "h2", "h3", "h4");

    /** A step that may request advice searches for free capacity, its tickets, workers to query, and their order. */
    private static final int SEARCHES_OF_ONE_STEP = 4;

    /** Jobs of the fixture expire after three times their objective, about seven seconds. */
    private static final long LONG_PAST_ANY_OBJECTIVE_MS = 60_000;

    /** A host whose advice call got no answer receives no further call for one second. */
    private static final long PAUSE_OF_FAILED_HOSTS_MS = 1_001;

    private final SchedulerFixture fixture = new SchedulerFixture(1);

    private void createBacklog(int jobs, boolean gangs) {
        fixture.withWorkers(IntStream.range(0, WORKERS)
                .mapToObj(i -> worker("w" + i, CPU_MILLIS))
                .toArray(WorkerEntry[]::new));
        fixture.scheduler.adviceHosts(HOSTS);
        for (int i = 0; i < jobs; i++) {
            fixture.scheduler.accept(fixture.job(
                    "waits-" + i,
                    route(1, 4, Optional.of(SETTINGS)),
                    step(4, 6_500 + 10 * i).gang(gangs).build()));
        }
    }

    private List<Effect.RequestAdvice> adviceRequests() {
        return fixture.tick().stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .map(Effect.RequestAdvice.class::cast)
                .toList();
    }

    /** Starts the two short calls that each host may have in flight: one at the service, one that waits there. */
    private void occupyAllHosts() {
        assertEquals(HOSTS.size(), adviceRequests().size());
        fixture.advance(4);
        assertEquals(HOSTS.size(), adviceRequests().size());
    }

    /** Guards against ticks whose cost grows with the backlog until the leader can no longer clear it (RECOVER). */
    @ParameterizedTest
    @CsvSource({"10, false", "100, false", "1000, false", "10, true", "100, true", "1000, true"})
    void shouldSearchWorkersOnlyForStepsThatMayRequestAdviceWhenAllHostsAreBusy(int jobs, boolean gangs) {
        createBacklog(jobs, gangs);
        occupyAllHosts();

        fixture.advance(4);
        assertEquals(0, adviceRequests().size());

        assertEquals(jobs, fixture.scheduler.lastTickCost().waitingSteps());
        assertTrue(
                fixture.scheduler.lastTickCost().searches() <= SEARCHES_OF_ONE_STEP * HOSTS.size(),
                "searches " + fixture.scheduler.lastTickCost().searches());
    }

    /** Guards against ticks whose cost grows with the backlog of jobs that have expired while they waited. */
    @ParameterizedTest
    @CsvSource({"10", "100", "1000"})
    void shouldMeasureFleetUtilizationOnceWhenAllJobsAreExpired(int jobs) {
        createBacklog(jobs, false);
        occupyAllHosts();

        fixture.advance(LONG_PAST_ANY_OBJECTIVE_MS);
        fixture.tick();
        IntStream.range(0, WORKERS).forEach(i -> fixture.leaseRenewed("w" + i, List.of(), List.of()));
        fixture.advance(PAUSE_OF_FAILED_HOSTS_MS);
        occupyAllHosts();
        fixture.advance(4);
        assertEquals(0, adviceRequests().size());

        assertTrue(
                fixture.scheduler.lastTickCost().searches() <= SEARCHES_OF_ONE_STEP * HOSTS.size(),
                "searches " + fixture.scheduler.lastTickCost().searches());
        assertEquals(1, fixture.scheduler.lastTickCost().utilizationScans());
    }

    /** Guards against ticks whose cost grows with the steps whose advice is known and whose workers are full. */
    @ParameterizedTest
    @CsvSource({"10", "100"})
    void shouldSearchOnlyAllowedWorkersWhenTheseAreFull(int jobs) {
        createBacklog(jobs, false);
        fixture.scheduler.accept(
                fixture.job("fills", step(WORKERS, CPU_MILLIS - 6_000).build()));
        fixture.tick();
        for (int round = 0; round < jobs; round++) {
            for (Effect.RequestAdvice call : adviceRequests()) {
                fixture.scheduler.adviceAnswered(
                        call.host(),
                        call.step(),
                        Optional.of(call.workers().stream()
                                .map(worker -> new Grant(worker, "ticket"))
                                .toList()));
            }
        }

        fixture.advance(4);
        int requests = adviceRequests().size();

        assertTrue(
                fixture.scheduler.lastTickCost().searches() <= SEARCHES_OF_ONE_STEP * (HOSTS.size() + requests),
                "searches " + fixture.scheduler.lastTickCost().searches());
    }

    /** Guards against less urgent steps taking the capacity of a step whose advice expired while no host was free. */
    @Test
    void shouldKeepAllowedCapacityFromLessUrgentStepsWhenNoHostIsFree() {
        fixture.withWorkers(worker("w1", CPU_MILLIS), worker("w2", CPU_MILLIS));
        fixture.scheduler.adviceHosts(List.of("h1"));
        accept("urgent", 0, Optional.of(SETTINGS));
        assertEquals(1, adviceRequests().size());
        accept("first", 0, Optional.empty());
        Effect.Start first = fixture.confirmedStarts().getFirst();
        fixture.scheduler.adviceAnswered(
                "h1", stepOf("urgent"), Optional.of(List.of(new Grant(first.worker(), "ticket"))));
        assertEquals(List.of(), adviceRequests());
        fixture.advance(SETTINGS.validMs());
        accept("asks", 0, Optional.of(SETTINGS));
        assertEquals(stepOf("asks"), adviceRequests().getFirst().step());
        accept("second", 0, Optional.empty());
        Effect.Start second = fixture.confirmedStarts().getFirst();
        accept("idle", 2, Optional.empty());

        fixture.leaseRenewed(
                first.worker(), List.of(), List.of(SchedulerFixture.end(1, first.task(), first.run(), EndKind.DONE)));

        assertEquals(List.of(), fixture.starts());
        assertNotEquals(first.worker(), second.worker());
    }

    private void accept(String id, int priority, Optional<AdviceSettings> advice) {
        fixture.scheduler.accept(
                fixture.job(id, route(priority, 4, advice), step(1, CPU_MILLIS).build()));
    }

    private static StepName stepOf(String job) {
        return new StepName(job, 0, 0);
    }
}
