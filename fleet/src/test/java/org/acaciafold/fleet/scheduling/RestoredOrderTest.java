package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.StoredJob;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers the rates of workspaces when a term begins, whose jobs are read in no order. */
class RestoredOrderTest {
    /** Within the rate of the workspace, 10 jobs a second, all the while. */
    private static final int JOBS = 40;

    private static final long INTERVAL_MS = 200;

    /** Guards against jobs within the rate of their workspace that come last after each change of leaders. */
    @Test
    void shouldStartTheOldestJobFirstWhenRecordsAreReadInAnotherOrder() {
        SchedulerFixture fixture = new SchedulerFixture(2);
        List<StoredJob> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            fixture.wallMs += INTERVAL_MS;
            jobs.add(new StoredJob(
                    fixture.job("job-" + i, step(1, 1_000).estimateMs(60_000).build()), Optional.empty(), false));
        }
        Collections.reverse(jobs);
        fixture.scheduler.advance(fixture.nowMs, fixture.wallMs);
        fixture.scheduler.restore(jobs, Map.of(), Set.of(), List.of());

        fixture.withWorkers(worker("a", 1_000));

        assertEquals(List.of("job-0"), startedJobs(fixture));
    }

    private static List<String> startedJobs(SchedulerFixture fixture) {
        return fixture.effects.stream()
                .filter(Effect.Start.class::isInstance)
                .map(effect -> ((Effect.Start) effect).task().job())
                .toList();
    }
}
