package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Covers a failure domain that is cut off while many jobs of several tasks run.
 *
 * <p>Every job with a task there is delayed until the domain returns or its leases have expired, so few jobs should have
 * tasks in more than one domain.
 */
class HomeDomainTest {
    private static final List<String> DOMAINS = List.of("north", "south", "west");
    private static final int WORKERS_PER_DOMAIN = 4;
    private static final int JOBS = 60;
    private static final int TASKS = 6;
    private static final AdviceSettings ADVICE = new AdviceSettings(15, 0.2, 2_500);

    private final SchedulerFixture fixture = new SchedulerFixture(1);

    private void registerWorkers(long cpuMillis) {
        List<WorkerEntry> workers = new ArrayList<>();
        for (String domain : DOMAINS) {
            for (int i = 0; i < WORKERS_PER_DOMAIN; i++) {
                workers.add(worker(domain + i, domain, cpuMillis));
            }
        }
        fixture.withWorkers(workers.toArray(WorkerEntry[]::new));
    }

    private static WorkerEntry worker(String id, String domain, long cpuMillis) {
        return new WorkerEntry(
                id,
                id + ":1",
                domain,
                "catalogue",
                Resources.of(cpuMillis, 1_000_000, 0),
                Set.of("a"),
                domain,
                false,
                SchedulerFixture.INCARNATION);
    }

    private static String domainOf(String worker) {
        return worker.substring(0, worker.length() - 1);
    }

    /** Returns the domains of the tasks of each job that has started. */
    private Map<String, Set<String>> domainsByJob(List<Effect.Start> starts) {
        Map<String, Set<String>> domains = new HashMap<>();
        starts.forEach(start -> domains.computeIfAbsent(start.task().job(), job -> new HashSet<>())
                .add(domainOf(start.worker())));
        return domains;
    }

    @Test
    void shouldKeepEachJobInOneDomainAndUseAllDomainsWhenThereIsRoom() {
        registerWorkers(100_000);
        for (int i = 0; i < JOBS; i++) {
            fixture.scheduler.accept(fixture.job("job-" + i, step(TASKS, 1_000).build()));
        }

        Map<String, Set<String>> domains = domainsByJob(fixture.starts());

        assertEquals(JOBS, domains.size());
        assertTrue(domains.values().stream().allMatch(used -> used.size() == 1));
        for (String domain : DOMAINS) {
            long jobs = domains.values().stream()
                    .filter(used -> used.contains(domain))
                    .count();
            assertTrue(jobs >= JOBS / (2 * DOMAINS.size()), domain + " runs " + jobs);
        }
    }

    @Test
    void shouldStartAllTasksWhenNoDomainFitsThem() {
        registerWorkers(1_000);
        fixture.scheduler.accept(fixture.job("wide", step(10, 1_000).build()));

        assertEquals(10, fixture.starts().size());
    }

    @Test
    void shouldRequestAdviceAboutOneDomainWhenItMostLikelyFitsTheStep() {
        registerWorkers(100_000);
        fixture.scheduler.adviceHosts(List.of("h1"));
        fixture.scheduler.accept(fixture.job(
                "asks", route(0, 4, Optional.of(ADVICE)), step(TASKS, 1_000).build()));

        List<String> domains = fixture.tick().stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .flatMap(request -> ((Effect.RequestAdvice) request).workers().stream())
                .map(HomeDomainTest::domainOf)
                .distinct()
                .toList();

        assertEquals(1, domains.size());
    }
}
