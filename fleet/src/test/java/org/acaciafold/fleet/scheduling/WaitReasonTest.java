package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.running;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers what operators are told of a step that waits. */
class WaitReasonTest {
    private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 2_500);

    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 4_000));

    private void submit(String id, int tasks, long cpuMillis, Optional<AdviceSettings> advice) {
        fixture.scheduler.accept(
                fixture.job(id, route(1, 4, advice), step(tasks, cpuMillis).build()));
    }

    private WaitReason reason(String job) {
        return SchedulerTrace.waitReason(fixture.scheduler, job);
    }

    private void limit(long cpuMillis) {
        fixture.scheduler.configure(SchedulerFixture.config(Resources.of(cpuMillis, 0, 0)), Set.of());
    }

    // what holds a step back

    @Test
    void shouldTellNothingWhenAllTasksStart() {
        submit("job", 2, 500, Optional.empty());

        fixture.starts();

        assertEquals(WaitReason.NONE, reason("job"));
    }

    @Test
    void shouldTellTheLimitWhenOnlyTheWorkspaceHoldsTasksBack() {
        limit(1_000);
        submit("job", 4, 500, Optional.empty());

        fixture.starts();

        assertEquals(WaitReason.WORKSPACE_LIMIT, reason("job"));
    }

    @Test
    void shouldTellTheCapacityWhenNoWorkerHasAny() {
        submit("job", 1, 5_000, Optional.empty());

        fixture.starts();

        assertEquals(WaitReason.NO_CAPACITY, reason("job"));
    }

    @Test
    void shouldTellTheCallWhenAdviceIsRequested() {
        fixture.scheduler.adviceHosts(List.of("h1"));
        submit("job", 1, 500, Optional.of(ADVICE));

        fixture.starts();

        assertEquals(WaitReason.ADVICE_CALL, reason("job"));
    }

    @Test
    void shouldTellThatNoHostCanMakeACallWhenThereIsNone() {
        fixture.scheduler.adviceHosts(List.of());
        submit("job", 1, 500, Optional.of(ADVICE));

        fixture.starts();

        assertEquals(WaitReason.NO_ADVICE_HOST, reason("job"));
    }

    @Test
    void shouldTellTheUseOfTheServiceWhenAStepHasExpired() {
        submit("job", 1, 3_000, Optional.empty());
        fixture.confirmedStarts();
        submit("late", 1, 500, Optional.empty());
        fixture.wallMs += 60_000;
        fixture.advance(0);

        fixture.starts();

        assertEquals(WaitReason.SERVICE_USED, reason("late"));
    }

    // the use of a workspace

    @Test
    void shouldTellRunsAtWorkFromThoseThatAreNotConfirmedOrOnASilentWorker() {
        submit("job", 2, 500, Optional.empty());
        List<Effect.Start> starts = fixture.starts();

        assertEquals(new WorkspaceUse(none(), twice(), none(), none()), use());
        fixture.leaseRenewed("a", List.of(running(starts.getFirst()), running(starts.getLast())), List.of());
        assertEquals(new WorkspaceUse(twice(), none(), none(), none()), use());
        fixture.tick();
        fixture.scheduler.leaseRenewalFailed("a", true);
        fixture.advance(5_000);
        fixture.tick();
        fixture.scheduler.leaseRenewalFailed("a", true);
        assertEquals(new WorkspaceUse(none(), none(), twice(), none()), use());
    }

    private WorkspaceUse use() {
        return SchedulerTrace.use(fixture.scheduler, "north");
    }

    private static Resources none() {
        return Resources.empty();
    }

    private static Resources twice() {
        return Resources.of(1_000, 2_000, 0);
    }
}
