package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.TaskEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TablePlacementEngineTest {
    private static final Resources CORE = Resources.of(1_000, 100, 0);
    private static final Resources WORKER = Resources.of(4_000, 1_000, 0);
    private static final Resources LARGE_ALLOTMENT = Resources.of(1_000_000, 1_000_000, 100);

    private final PlacementEngine engine = TablePlacementEngine.of(3);
    private long nowMs = 1_000;

    private void workers(int count) {
        for (int i = 0; i < count; i++) {
            engine.putWorker(new WorkerSpec(WorkerId.of("w" + i), "rack" + i % 2, WORKER), WorkerState.READY);
        }
    }

    private void workspace(String workspace, double weight, Resources allotment) {
        engine.setQuota(
                WorkspaceId.of(workspace),
                new WorkspaceQuota(
                        weight,
                        allotment,
                        new ServicePolicy.Spread(1),
                        new BatchPolicy.DeadlineOrder(1),
                        new GangPolicy.Reserve(1_000)));
    }

    private static JobSpec.Builder job(String id, String workspace, JobKind kind) {
        return JobSpec.builder(JobId.of(id), WorkspaceId.of(workspace), id, kind)
                .demand(CORE);
    }

    private static JobKind batch(int tasks) {
        return new JobKind.Batch(tasks, OptionalLong.empty());
    }

    private void submit(JobSpec.Builder job) {
        engine.submit(job.build(), new BitSet(), nowMs);
    }

    private <T extends Decision> List<T> tick(long afterMs, Class<T> type) {
        nowMs += afterMs;
        return engine.tick(nowMs).stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private List<Decision.Start> starts(long afterMs) {
        return tick(afterMs, Decision.Start.class);
    }

    private void end(Decision.Start start, EndReason reason, long ranMs) {
        engine.ended(new TaskEnd(1, start.task(), start.attempt(), reason, "", ranMs), nowMs);
    }

    // -- tick: order

    static Stream<Arguments> orders() {
        JobKind deadline = new JobKind.Batch(1, OptionalLong.of(100_000));
        JobKind laterDeadline = new JobKind.Batch(1, OptionalLong.of(900_000));
        return Stream.of(
                Arguments.of(job("a", "t", batch(1)), job("b", "t", batch(1)).priority(Priority.URGENT)),
                Arguments.of(job("a", "t", deadline), job("b", "t", new JobKind.Gang(1))),
                Arguments.of(job("a", "t", batch(1)), job("b", "t", deadline)),
                Arguments.of(job("a", "t", laterDeadline), job("b", "t", deadline)),
                Arguments.of(job("a", "t", batch(1)).priority(Priority.LOW), job("b", "t", batch(1))));
    }

    @ParameterizedTest
    @MethodSource("orders")
    void shouldStartTheSecondJobFirstWhenItsClassOrSlackRanksHigher(JobSpec.Builder first, JobSpec.Builder second) {
        workspace("t", 1, LARGE_ALLOTMENT);
        submit(first);
        submit(second);
        workers(1);

        assertEquals("b", starts(10).getFirst().spec().name());
    }

    @ParameterizedTest
    @CsvSource({"1,1,4,4", "3,1,6,2"})
    void shouldShareByWeightWhenTheSliceIsFull(double heavy, double light, int heavyStarts, int lightStarts) {
        workspace("heavy", heavy, LARGE_ALLOTMENT);
        workspace("light", light, LARGE_ALLOTMENT);
        submit(job("a", "heavy", batch(20)));
        submit(job("b", "light", batch(20)));
        workers(2);

        List<Decision.Start> starts = starts(10);

        assertEquals(
                heavyStarts,
                starts.stream().filter(start -> start.spec().name().equals("a")).count());
        assertEquals(
                lightStarts,
                starts.stream().filter(start -> start.spec().name().equals("b")).count());
    }

    // -- tick: preemption

    @ParameterizedTest
    @EnumSource(
            value = Priority.class,
            names = {"URGENT", "NORMAL"})
    void shouldCheckpointABorrowerWhenAWorkspaceBelowItsShareWaits(Priority priority) {
        workspace("borrower", 1, LARGE_ALLOTMENT);
        workspace("owner", 1, LARGE_ALLOTMENT);
        submit(job("a", "borrower", batch(20)));
        workers(2);
        assertEquals(8, starts(10).size());
        submit(job("b", "owner", batch(1)).priority(priority));

        List<Decision.StopTask> stops = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            stops.addAll(tick(100, Decision.StopTask.class));
        }

        assertEquals(1, stops.size());
        assertEquals(StopMode.CHECKPOINT, stops.getFirst().mode());
        Decision.StopTask stop = stops.getFirst();
        engine.ended(new TaskEnd(1, stop.task(), stop.attempt(), EndReason.CHECKPOINTED, "", 10), nowMs);
        assertEquals("b", starts(10).getFirst().spec().name());
    }

    // -- tick: gangs

    static Stream<Arguments> largeJobs() {
        return Stream.of(
                Arguments.of(job("large", "t", new JobKind.Gang(2)).demand(WORKER)),
                Arguments.of(job("large", "t", batch(1)).demand(WORKER)));
    }

    @ParameterizedTest
    @MethodSource("largeJobs")
    void shouldReserveCapacityForALargeJobWhenSmallTasksKeepArriving(JobSpec.Builder large) {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(2);
        List<Decision.Start> running = new ArrayList<>();
        submit(job("small0", "t", batch(8)));
        running.addAll(starts(10));
        submit(large);

        boolean largeStarted = false;
        for (int i = 1; i < 60 && !largeStarted; i++) {
            submit(job("small" + i, "t", batch(1)));
            end(running.removeFirst(), EndReason.SUCCEEDED, 8_000);
            List<Decision.Start> starts = starts(1_000);
            largeStarted = starts.stream().anyMatch(start -> start.spec().name().equals("large"));
            running.addAll(starts);
            if (running.isEmpty()) {
                break;
            }
        }

        assertTrue(largeStarted);
    }

    @Test
    void shouldStopTheRestOfAGangWhenOneTaskFails() {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(2);
        submit(job("gang", "t", new JobKind.Gang(3)));
        List<Decision.Start> starts = starts(10);

        end(starts.getFirst(), EndReason.FAILED, 10);

        assertEquals(2, tick(10, Decision.StopTask.class).size());
    }

    // -- tick: services

    @Test
    void shouldSpreadReplicasWhenSeveralRacksHaveFreeCapacity() {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(8);
        submit(job("web", "t", new JobKind.Service(2)));

        Set<Integer> racks = new HashSet<>();
        starts(10)
                .forEach(start ->
                        racks.add(Integer.parseInt(start.worker().value().substring(1)) % 2));

        assertEquals(2, racks.size());
    }

    @ParameterizedTest
    @EnumSource(EndReason.class)
    void shouldStartAReplicaAgainWhenItEndsForAnyReason(EndReason reason) {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(2);
        submit(job("web", "t", new JobKind.Service(1)));
        Decision.Start first = starts(10).getFirst();

        end(first, reason, 10);
        List<Decision.Start> again = starts(5_000);

        assertEquals(1, again.size());
        assertTrue(again.getFirst().attempt() > first.attempt());
    }

    // -- tick: unschedulable jobs

    static Stream<Arguments> unschedulable() {
        return Stream.of(
                Arguments.of(job("a", "t", batch(1)).demand(WORKER.times(2)), WORKER),
                Arguments.of(job("a", "t", new JobKind.Gang(3)).demand(WORKER), WORKER.times(1)));
    }

    @ParameterizedTest
    @MethodSource("unschedulable")
    void shouldReportAtOnceWhenAJobCanNeverRun(JobSpec.Builder job, Resources mostPerTask) {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(2);
        submit(job);

        Decision.JobUnschedulable unschedulable =
                tick(10, Decision.JobUnschedulable.class).getFirst();

        assertTrue(unschedulable.largest().fitsIn(mostPerTask));
        assertFalse(unschedulable.largest().equals(Resources.empty()));
        engine.putWorker(new WorkerSpec(WorkerId.of("large"), "r", WORKER.times(2)), WorkerState.READY);
        assertFalse(starts(10).isEmpty());
    }

    // -- ended: failures

    @Test
    void shouldQuarantineAWorkerWhenDifferentJobsFailOnIt() {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(8);
        int startsOnBad = 0;
        for (int i = 0; i < 300; i++) {
            submit(job("j" + i, "t", batch(1)));
            for (Decision.Start start : starts(100)) {
                boolean bad = start.worker().equals(WorkerId.of("w3"));
                startsOnBad += bad ? 1 : 0;
                end(start, bad ? EndReason.FAILED : EndReason.SUCCEEDED, 50);
            }
        }

        assertTrue(startsOnBad >= 3, "the faulty worker received tasks");
        assertTrue(startsOnBad <= 6, "quarantined after a few failures, then probed: " + startsOnBad);
    }

    @Test
    void shouldStopAJobWhenItFailsOnDifferentWorkers() {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(8);
        submit(job("bad", "t", batch(6)));
        int starts = 0;
        List<Decision.JobUnschedulable> unschedulableJobs = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            nowMs += 1_000;
            for (Decision decision : engine.tick(nowMs)) {
                if (decision instanceof Decision.Start start) {
                    starts++;
                    end(start, EndReason.FAILED, 50);
                } else if (decision instanceof Decision.JobUnschedulable unschedulable) {
                    unschedulableJobs.add(unschedulable);
                }
            }
        }

        assertEquals(1, unschedulableJobs.size());
        assertTrue(starts <= 6 * 5, "the attempts are bounded: " + starts);
        assertTrue(engine.progress(JobId.of("bad")).orElseThrow().problem().isPresent());
    }

    // -- open

    @Test
    void shouldRampUpStartsWhenTheDomainReopens() {
        workspace("t", 1, LARGE_ALLOTMENT);
        workers(50);
        submit(job("a", "t", batch(200)));
        List<Decision.Start> running = starts(10);
        engine.setOpen(false);
        assertEquals(running.size(), tick(10, Decision.StopTask.class).size());
        running.forEach(start -> end(start, EndReason.CHECKPOINTED, 10));
        assertTrue(starts(1_000).isEmpty());

        engine.setOpen(true);
        int first = starts(100).size();
        int all = first;
        for (int i = 0; i < 200; i++) {
            all += starts(100).size();
        }

        assertTrue(first < 10, "few start at once: " + first);
        assertEquals(200, all);
    }

    // -- cancel

    @Test
    void shouldNeverStartCancelledJobsWhenCapacityIsAddedAfterManyCancellations() {
        workspace("t", 1, LARGE_ALLOTMENT);
        for (int i = 0; i < 20_000; i++) {
            submit(job("j" + i, "t", batch(1)));
        }
        for (int i = 0; i < 20_000; i += 2) {
            engine.cancel(JobId.of("j" + i));
        }
        workers(4);

        List<Decision.Start> starts = starts(10);

        assertEquals(16, starts.size());
        assertTrue(starts.stream()
                .allMatch(start -> Integer.parseInt(start.spec().name().substring(1)) % 2 == 1));
        assertEquals(10_000 - 16, engine.summary().waiting());
    }

    // -- workspace

    @Test
    void shouldRequestAllotmentWhenWaitingTasksNeedMore() {
        workspace("t", 1, CORE.times(3));
        workers(2);
        submit(job("a", "t", batch(5)));

        List<Decision> decisions = new ArrayList<>();
        decisions.addAll(engine.tick(nowMs));

        assertEquals(
                3, decisions.stream().filter(Decision.Start.class::isInstance).count());
        assertTrue(decisions.contains(new Decision.RequestAllotment(WorkspaceId.of("t"), CORE.times(2))));
        workspace("t", 1, CORE.times(5));
        assertEquals(2, starts(10).size());
    }

    // -- tick: lowered allotments

    @Test
    void shouldStopTheLowestClassFirstWhenTheAllotmentIsLowered() {
        workspace("t", 1, CORE.times(4));
        workers(1);
        submit(job("low", "t", batch(2)).priority(Priority.LOW));
        submit(job("high", "t", batch(2)));
        starts(10).forEach(start -> engine.started(start.task(), start.attempt(), nowMs));

        workspace("t", 1, CORE.times(2));
        List<Decision.StopTask> stops = tick(10, Decision.StopTask.class);

        assertEquals(2, stops.size());
        assertTrue(stops.stream().allMatch(stop -> stop.task().job().value().equals("low")));
        assertTrue(stops.stream().allMatch(stop -> stop.mode() == StopMode.CHECKPOINT));
        assertEquals(List.of(), tick(10, Decision.StopTask.class));
    }
}
