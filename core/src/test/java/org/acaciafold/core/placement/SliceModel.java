package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A placement engine together with a simple model that checks each of its decisions. */
final class SliceModel {
    static final Resources ALLOTMENT = Resources.of(40_000, 4_000, 4);
    private static final long TICK_MS = 20;

    PlacementEngine engine;
    final Map<WorkerId, WorkerSpec> workers = new LinkedHashMap<>();
    final Map<WorkerId, WorkerState> states = new HashMap<>();
    final Map<JobId, JobSpec> jobs = new LinkedHashMap<>();
    final Set<JobId> cancelled = new HashSet<>();
    final Set<JobId> failing = new HashSet<>();
    final Map<TaskId, Long> attempts = new HashMap<>();
    final Map<TaskId, Running> running = new LinkedHashMap<>();
    final Set<TaskId> succeeded = new HashSet<>();
    boolean open = true;
    long nowMs = 1_000;
    final List<String> history = new ArrayList<>();
    private long endId;
    private long epoch;
    private final long seed;

    SliceModel(long seed) {
        this.seed = seed;
        newEngine();
        for (int i = 0; i < 4; i++) {
            putWorker(i, WorkerState.READY);
        }
    }

    /** An attempt that has resources reserved. */
    record Running(long attempt, WorkerId worker, JobSpec spec, boolean stopping) {}

    static WorkspaceQuota quota(Resources allotment) {
        return new WorkspaceQuota(
                1,
                allotment,
                new ServicePolicy.Spread(1),
                new BatchPolicy.DeadlineOrder(1.5),
                new GangPolicy.Reserve(200));
    }

    void putWorker(int index, WorkerState state) {
        history.add("worker " + index + " " + state);
        WorkerId id = WorkerId.of("w" + index);
        Resources capacity = Resources.of(8_000 + 4_000 * (index % 2), 1_000, index % 2);
        workers.put(id, new WorkerSpec(id, "rack" + index % 2, capacity));
        states.put(id, state);
        engine.putWorker(workers.get(id), state);
    }

    /** Hands the slice to a new owner, which reads the workers and the jobs. */
    void takeOver() {
        history.add("take over");
        newEngine();
        engine.setOpen(open);
        workers.forEach((id, spec) -> engine.putWorker(spec, states.get(id)));
        running.forEach((task, run) -> engine.adopt(
                run.worker(),
                new TaskView(
                        task,
                        run.attempt(),
                        run.spec(),
                        1_000,
                        run.stopping() ? TaskPhase.CHECKPOINTING : TaskPhase.RUNNING)));
        for (JobSpec spec : jobs.values()) {
            BitSet ended = new BitSet();
            succeeded.stream().filter(task -> task.job().equals(spec.id())).forEach(task -> ended.set(task.index()));
            engine.submit(spec, ended, nowMs);
            if (cancelled.contains(spec.id())) {
                engine.cancel(spec.id());
            }
        }
    }

    void sleep(long byMs) {
        history.add("sleep " + byMs);
        nowMs += byMs;
        tick();
    }

    private void newEngine() {
        engine = TablePlacementEngine.builder(seed).lastAttempt(epoch++ << 20).build();
        for (int i = 0; i < 3; i++) {
            engine.setQuota(WorkspaceId.of("workspace" + i), quota(ALLOTMENT));
        }
    }

    void submit(JobSpec spec) {
        history.add("submit " + spec.id() + " " + spec.workspace() + " " + spec.kind() + " " + spec.demand() + " "
                + spec.priority());
        jobs.put(spec.id(), spec);
        engine.submit(spec, new BitSet(), nowMs);
    }

    void cancel(int choice) {
        if (!jobs.isEmpty()) {
            JobId id = List.copyOf(jobs.keySet()).get(choice % jobs.size());
            history.add("cancel " + id);
            cancelled.add(id);
            engine.cancel(id);
        }
    }

    void open(boolean value) {
        history.add("open " + value);
        open = value;
        engine.setOpen(value);
    }

    void end(int choice, EndReason reason) {
        if (running.isEmpty()) {
            return;
        }
        TaskId task = List.copyOf(running.keySet()).get(choice % running.size());
        end(task, reason);
    }

    void end(TaskId task, EndReason reason) {
        history.add("end " + task + " " + reason);
        Running run = running.remove(task);
        if (reason == EndReason.SUCCEEDED && !(run.spec().kind() instanceof JobKind.Service)) {
            succeeded.add(task);
        }
        if (reason == EndReason.FAILED) {
            failing.add(task.job());
        }
        engine.ended(new TaskEnd(endId++, task, run.attempt(), reason, "", 50), nowMs);
    }

    void refuse(int choice) {
        history.add("refuse " + choice);
        if (!running.isEmpty()) {
            TaskId task = List.copyOf(running.keySet()).get(choice % running.size());
            engine.refused(task, running.remove(task).attempt(), nowMs);
        }
    }

    void lose(int choice) {
        history.add("lose " + choice);
        if (!running.isEmpty()) {
            TaskId task = List.copyOf(running.keySet()).get(choice % running.size());
            engine.lost(task, running.remove(task).attempt());
        }
    }

    /** Runs one tick and checks every decision. */
    void tick() {
        history.add("tick");
        nowMs += TICK_MS;
        Set<JobId> before = new HashSet<>();
        running.keySet().forEach(task -> before.add(task.job()));
        Map<JobId, Integer> gangStarts = new HashMap<>();
        for (Decision decision : engine.tick(nowMs)) {
            switch (decision) {
                case Decision.Start start -> {
                    applyStart(start);
                    if (start.spec().kind() instanceof JobKind.Gang) {
                        assertFalse(before.contains(start.spec().id()), "a gang starts while a part of it runs");
                        gangStarts.merge(start.spec().id(), 1, Integer::sum);
                    }
                }
                case Decision.StopTask stop -> applyStop(stop);
                case Decision.JobUnschedulable unschedulable -> assertTrue(jobs.containsKey(unschedulable.job()));
                case Decision.RequestAllotment request ->
                    assertFalse(request.missing().fitsIn(Resources.empty()));
            }
        }
        gangStarts.forEach((job, count) -> assertEquals(remaining(job), count, "all of a gang or none"));
        assertEquals(total(), engine.summary().reserved());
        assertEquals(running.size(), engine.summary().running());
    }

    /** Ends running tasks and ticks until every job that fits has completed. */
    void runToCompletion() {
        open(true);
        workers.keySet().forEach(id -> putWorker(Integer.parseInt(id.value().substring(1)), WorkerState.READY));
        jobs.values().stream()
                .filter(spec -> spec.kind() instanceof JobKind.Service)
                .forEach(spec -> {
                    cancelled.add(spec.id());
                    engine.cancel(spec.id());
                });
        for (int round = 0; round < 400 && !completed(); round++) {
            nowMs += 5_000;
            tick();
            for (TaskId task : List.copyOf(running.keySet())) {
                end(task, running.get(task).stopping() ? EndReason.CHECKPOINTED : EndReason.SUCCEEDED);
            }
        }
        jobs.values().forEach(this::assertCompleted);
        assertEquals(Resources.empty(), engine.summary().reserved());
    }

    private boolean completed() {
        return running.isEmpty() && jobs.values().stream().allMatch(this::done);
    }

    private boolean done(JobSpec spec) {
        if (cancelled.contains(spec.id()) || !fits(spec)) {
            return true;
        }
        JobProgress progress = engine.progress(spec.id()).orElseThrow();
        boolean mayFail = failing.contains(spec.id());
        boolean finished =
                progress.succeeded() + progress.failed() == spec.kind().tasks();
        return mayFail && progress.problem().isPresent() || finished && (mayFail || progress.failed() == 0);
    }

    private void assertCompleted(JobSpec spec) {
        assertTrue(
                done(spec),
                () -> "fits and did not run: " + spec + " " + engine.progress(spec.id()) + " after " + history);
    }

    private boolean fits(JobSpec spec) {
        if (!spec.demand()
                .times(spec.kind() instanceof JobKind.Gang ? spec.kind().tasks() : 1)
                .fitsIn(ALLOTMENT)) {
            return false;
        }
        int places = workers.values().stream()
                .mapToInt(worker -> places(worker, spec.demand()))
                .sum();
        return places >= (spec.kind() instanceof JobKind.Gang ? remaining(spec.id()) : 1);
    }

    private static int places(WorkerSpec worker, Resources demand) {
        int count = 0;
        while (demand.times(count + 1).fitsIn(worker.capacity())) {
            count++;
        }
        return count;
    }

    private int remaining(JobId job) {
        int done =
                (int) succeeded.stream().filter(task -> task.job().equals(job)).count();
        return jobs.get(job).kind().tasks() - done;
    }

    private void applyStart(Decision.Start start) {
        TaskId task = start.task();
        assertTrue(open, "nothing starts in a closed domain");
        assertFalse(cancelled.contains(task.job()), "a cancelled job does not start");
        assertFalse(running.containsKey(task), "a task never runs in two places");
        assertFalse(succeeded.contains(task), "a task that ended does not start");
        assertEquals(WorkerState.READY, states.get(start.worker()));
        assertTrue(start.attempt() > attempts.getOrDefault(task, 0L), "attempts increase");
        history.add("start " + task + " on " + start.worker());
        attempts.put(task, start.attempt());
        running.put(task, new Running(start.attempt(), start.worker(), start.spec(), false));
        assertTrue(
                reservedOn(start.worker()).fitsIn(workers.get(start.worker()).capacity()), "no worker above capacity");
        assertTrue(reservedBy(start.spec().workspace()).fitsIn(ALLOTMENT), "no workspace above its allotment");
    }

    private void applyStop(Decision.StopTask stop) {
        Running run = running.get(stop.task());
        assertEquals(stop.attempt(), run.attempt());
        assertEquals(stop.worker(), run.worker());
        running.put(stop.task(), new Running(run.attempt(), run.worker(), run.spec(), true));
        assertFalse(run.spec().kind() instanceof JobKind.Service && stop.mode() == StopMode.CHECKPOINT);
    }

    private Resources reservedOn(WorkerId worker) {
        return sum(running.values().stream()
                .filter(run -> run.worker().equals(worker))
                .toList());
    }

    private Resources reservedBy(WorkspaceId workspace) {
        return sum(running.values().stream()
                .filter(run -> run.spec().workspace().equals(workspace))
                .toList());
    }

    private Resources total() {
        return sum(new ArrayList<>(running.values()));
    }

    private static Resources sum(List<Running> runs) {
        return runs.stream().map(run -> run.spec().demand()).reduce(Resources.empty(), Resources::plus);
    }
}
