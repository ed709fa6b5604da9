package org.acaciafold.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.Decision;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.ServicePolicy;
import org.acaciafold.core.placement.WorkerSpec;
import org.acaciafold.core.placement.WorkerState;
import org.acaciafold.core.placement.WorkspaceQuota;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.TaskEnd;

/** A slice under constant load: new tasks start whenever tasks end. */
final class SteadySlice {
    private static final Resources WORKER_CAPACITY = Resources.of(32_000, 128_000, 0);
    private static final int ACCELERATORS_PER_WORKER = 4;
    private static final int WORKERS_PER_RACK = 8;
    private static final int TASKS_PER_JOB = 4;
    private static final long TICK_MS = 10;
    private static final long RUN_TIME_MS = 10_000;

    private final PlacementEngine engine;
    private final Random random;
    private final int workspaces;
    private final int queuedTasks;
    private final List<Decision.Start> running = new ArrayList<>();
    private long nowMs;
    private long jobs;

    private SteadySlice(PlacementEngine engine, int workspaces, int queuedTasks, long seed) {
        this.engine = engine;
        this.workspaces = workspaces;
        this.queuedTasks = queuedTasks;
        this.random = new Random(seed);
    }

    /** Creates a slice whose workers are full and whose queue has the given number of jobs. */
    static SteadySlice of(PlacementEngine engine, int workers, int workspaces, int queuedJobs, long seed) {
        SteadySlice slice = new SteadySlice(engine, workspaces, queuedJobs * TASKS_PER_JOB, seed);
        slice.addWorkers(workers);
        slice.fill(workers);
        return slice;
    }

    /** Returns the number of running tasks. */
    int running() {
        return running.size();
    }

    /** Ends some tasks, refills the queue, runs the systems and returns the number of started tasks. */
    int step(int ends) {
        for (int i = 0; i < ends && !running.isEmpty(); i++) {
            endOne();
        }
        while (engine.summary().waiting() < queuedTasks) {
            submit();
        }
        return tick();
    }

    private void addWorkers(int workers) {
        Resources totalCapacity = WORKER_CAPACITY
                .plus(Resources.of(0, 0, ACCELERATORS_PER_WORKER))
                .times(workers);
        for (int i = 0; i < workspaces; i++) {
            engine.setQuota(
                    WorkspaceId.of("workspace" + i),
                    new WorkspaceQuota(
                            1 + i % 3,
                            totalCapacity,
                            new ServicePolicy.Spread(2),
                            new BatchPolicy.DeadlineOrder(1.5),
                            new GangPolicy.Reserve(5_000)));
        }
        for (int i = 0; i < workers; i++) {
            Resources capacity = WORKER_CAPACITY.plus(Resources.of(0, 0, i % 3 == 0 ? ACCELERATORS_PER_WORKER : 0));
            engine.putWorker(
                    new WorkerSpec(WorkerId.of("w" + i), "r" + i / WORKERS_PER_RACK, capacity), WorkerState.READY);
        }
    }

    private void fill(int workers) {
        int started = 1;
        while (started > 0 || running.size() < workers) {
            while (engine.summary().waiting() < queuedTasks) {
                submit();
            }
            started = tick();
        }
    }

    private void endOne() {
        int index = random.nextInt(running.size());
        Decision.Start start = running.get(index);
        running.set(index, running.getLast());
        running.removeLast();
        engine.ended(new TaskEnd(0, start.task(), start.attempt(), EndReason.SUCCEEDED, "", RUN_TIME_MS), nowMs);
        boolean jobCompleted = engine.progress(start.spec().id())
                .filter(progress -> progress.succeeded() == TASKS_PER_JOB)
                .isPresent();
        if (jobCompleted) {
            engine.removeJob(start.spec().id());
        }
    }

    private void submit() {
        int cores = 2 + random.nextInt(3);
        boolean accelerated = random.nextInt(20) == 0;
        int workspace = random.nextInt(workspaces);
        OptionalLong finishWithinMs =
                random.nextBoolean() ? OptionalLong.of(RUN_TIME_MS * (1 + random.nextInt(60))) : OptionalLong.empty();
        JobSpec spec = JobSpec.builder(
                        JobId.of("j" + jobs++),
                        WorkspaceId.of("workspace" + workspace),
                        "name" + workspace,
                        new JobKind.Batch(TASKS_PER_JOB, finishWithinMs))
                .demand(Resources.of(cores * 1_000L, 4_000L * (1 + random.nextInt(3)), accelerated ? 1 : 0))
                .runTimeMs(RUN_TIME_MS)
                .build();
        engine.submit(spec, new BitSet(), nowMs);
    }

    private int tick() {
        nowMs += TICK_MS;
        int started = 0;
        for (Decision decision : engine.tick(nowMs)) {
            if (decision instanceof Decision.Start start) {
                engine.started(start.task(), start.attempt(), nowMs);
                running.add(start);
                started++;
            }
        }
        return started;
    }
}
