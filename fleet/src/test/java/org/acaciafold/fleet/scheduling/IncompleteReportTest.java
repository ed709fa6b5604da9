package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tasks that run twice because their ends are not among the first that a worker lists. */
class IncompleteReportTest {
    private static final int LISTED = 500;

    private final SchedulerFixture fixture = new SchedulerFixture(2);

    /** Begins a term in which all tasks of a job are claimed on worker a, and worker b is free. */
    private void takeOver(int tasks) {
        Job job = fixture.job("job", step(tasks, 10).build());
        List<WorkerClaims.Claim> claims = IntStream.range(0, tasks)
                .mapToObj(i -> new WorkerClaims.Claim(new TaskName("job", 0, 0, i), 1))
                .toList();
        fixture.scheduler.restore(
                List.of(new StoredJob(job, Optional.empty(), false)),
                Map.of(),
                Set.of(),
                List.of(new WorkerClaims("a", "a:1", INCARNATION, claims)));
        fixture.scheduler.updateRegistry(List.of(worker("a", 50_000), worker("b", 50_000)), true);
        fixture.tick();
        fixture.leaseRenewed("b", List.of(), List.of());
    }

    /** Reports the ends of some tasks, a part of the whole list at a time as workers do. */
    private void report(int from, int tasks) {
        fixture.advance(10);
        List<RunEnd> ends = IntStream.range(from, Math.min(tasks, from + LISTED))
                .mapToObj(i -> end(i + 1, new TaskName("job", 0, 0, i), 1, EndKind.DONE))
                .toList();
        fixture.scheduler.leaseRenewed(
                "a",
                new WorkerReport(fixture.nowMs, INCARNATION, List.of(), ends, ends.size() < LISTED),
                fixture.nowMs);
    }

    @ParameterizedTest
    @ValueSource(ints = {LISTED - 1, LISTED, LISTED + 1, 2 * LISTED, 2 * LISTED + 1})
    void shouldStartNoTaskAgainWhenItsEndIsNotListedYet(int tasks) {
        takeOver(tasks);

        for (int from = 0; from <= tasks; from += LISTED) {
            report(from, tasks);
            assertTrue(fixture.starts().isEmpty());
        }

        fixture.tick();
        assertEquals(JobState.COMPLETED, fixture.published.get("job"));
    }

    @ParameterizedTest
    @ValueSource(ints = {LISTED - 1, LISTED, LISTED + 1})
    void shouldStartATaskAgainWhenAllEndsAreListedAndItsOwnIsNot(int ended) {
        takeOver(ended + 1);

        for (int from = 0; from <= ended; from += LISTED) {
            report(from, ended);
            fixture.tick();
        }

        fixture.starts();
        List<TaskName> started = fixture.effects.stream()
                .filter(Effect.Start.class::isInstance)
                .map(effect -> ((Effect.Start) effect).task())
                .toList();
        assertEquals(List.of(new TaskName("job", 0, 0, ended)), started);
    }
}
