package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers wide gangs on a fleet of several failure domains, any of which may become unreachable. */
class GangPlacementTest {
    private static final int DOMAINS = 3;
    private static final int WORKERS_IN_DOMAIN = 4;

    private static WorkerEntry worker(String domain, int number) {
        return new WorkerEntry(
                domain + "-" + number,
                "a:1",
                domain,
                "catalogue",
                Resources.of(1_000, 100_000, 0),
                Set.of("a", domain + "-rack-" + number % 2),
                domain + "-rack-" + number % 2,
                false,
                INCARNATION);
    }

    private static SchedulerFixture fleet() {
        List<WorkerEntry> workers = new ArrayList<>();
        for (int domain = 0; domain < DOMAINS; domain++) {
            for (int number = 0; number < WORKERS_IN_DOMAIN; number++) {
                workers.add(worker("domain-" + domain, number));
            }
        }
        return new SchedulerFixture(1).withWorkers(workers.toArray(WorkerEntry[]::new));
    }

    private static Set<String> domains(List<Effect.Start> starts) {
        Set<String> domains = new HashSet<>();
        starts.forEach(
                start -> domains.add(start.worker().substring(0, start.worker().lastIndexOf('-'))));
        return domains;
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "4, 1", "5, 2", "12, 3"})
    void shouldUseTheFewestFailureDomainsThatFitTheGang(int members, int domains) {
        SchedulerFixture fixture = fleet();
        fixture.scheduler.accept(
                fixture.job("gang", step(members, 1_000).gang(true).build()));

        List<Effect.Start> starts = fixture.confirmedStarts();

        assertEquals(members, starts.size());
        assertEquals(domains, domains(starts).size());
    }

    @Test
    void shouldPlaceAGangInOneDomainWhenOtherTasksUseCapacity() {
        SchedulerFixture fixture = fleet();
        fixture.scheduler.accept(fixture.job("singles", step(5, 1_000).build()));
        fixture.confirmedStarts();

        fixture.scheduler.accept(fixture.job("gang", step(4, 1_000).gang(true).build()));

        assertEquals(1, domains(fixture.confirmedStarts()).size());
    }
}
