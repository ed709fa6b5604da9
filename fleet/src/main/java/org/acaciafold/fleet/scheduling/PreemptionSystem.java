package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops checkpointed tasks of lower priority where an urgent step finds no capacity.
 *
 * <p>Long tasks hold their capacity for seconds, longer than short jobs can wait when a part of the workers is lost. A
 * stopped task saves a checkpoint and continues from it later, so hardly any work is lost.
 */
final class PreemptionSystem {
    private static final Logger LOG = LoggerFactory.getLogger(PreemptionSystem.class);

    /** How long a step waits for tasks that end by themselves. */
    static final long MIN_WAIT_MS = 100;

    /** A run is not stopped before it has taken this long, so that a task makes progress in each of its runs. */
    static final long MIN_RUN_MS = 1_000;

    /** Bounds the cost of a tick; other steps follow in the next ticks. */
    private static final int MAX_STEPS_PER_TICK = 2;

    private final Tables tables;
    private int stepsInTick;

    PreemptionSystem(Tables tables) {
        this.tables = tables;
    }

    void beginTick() {
        stepsInTick = 0;
    }

    /** Requests as many stops as the waiting tasks of a step need that found too little capacity in this tick. */
    void preemptFor(QueueOrder.Entry entry, Placement placement) {
        if (!mayPreempt(entry) || stepsInTick >= MAX_STEPS_PER_TICK) {
            return;
        }
        stepsInTick++;
        StepRow step = entry.step();
        List<FreeCapacity> usable = new ArrayList<>(placement.candidates(step));
        usable.removeIf(capacity -> step.denies(capacity.worker));
        Map<WorkerRow, Resources> released = new HashMap<>();
        int missing = WorkspaceLimits.startable(step, tables).size();
        for (FreeCapacity capacity : usable) {
            Resources stopping = stoppingResources(capacity.worker);
            released.put(capacity.worker, stopping);
            missing -= Math.min(missing, capacity.maxTasksWith(stopping, step.spec.each()));
        }
        if (missing > 0) {
            stopVictims(step, usable, released, missing);
        }
    }

    private boolean mayPreempt(QueueOrder.Entry entry) {
        StepRow step = entry.step();
        return entry.rank() == QueueOrder.Rank.IN_TIME
                && !step.spec.gang()
                && !step.spec.longRunning()
                && tables.nowMs - step.readyAtMs >= MIN_WAIT_MS;
    }

    private void stopVictims(StepRow step, List<FreeCapacity> usable, Map<WorkerRow, Resources> released, int missing) {
        int stillMissing = missing;
        int stopped = 0;
        for (Victim victim : victims(step, usable)) {
            if (stillMissing <= 0) {
                break;
            }
            Resources before = released.get(victim.run.worker);
            Resources after = before.plus(victim.run.resources);
            Resources each = step.spec.each();
            int gained = victim.capacity.maxTasksWith(after, each) - victim.capacity.maxTasksWith(before, each);
            if (gained > 0) {
                victim.run.stop("preempted");
                released.put(victim.run.worker, after);
                stillMissing -= gained;
                stopped++;
            }
        }
        if (stopped > 0) {
            LOG.info(
                    "preemption job={} step={}.{} priority={} missing={} stopped={}",
                    step.job.job.id(),
                    step.occurrence,
                    step.index,
                    step.job.job.route().priority(),
                    missing,
                    stopped);
        }
    }

    /** Returns the runs that may be stopped for a step, those first that can wait longest. */
    private List<Victim> victims(StepRow step, List<FreeCapacity> usable) {
        List<Victim> victims = new ArrayList<>();
        for (FreeCapacity capacity : usable) {
            for (RunRow run : capacity.worker.runs.values()) {
                if (mayBeStopped(run, step)) {
                    victims.add(new Victim(run, capacity));
                }
            }
        }
        victims.sort(Comparator.comparingInt((Victim victim) -> -priority(victim.run.task.step))
                .thenComparingLong(victim -> -latestObjectiveMs(victim.run.task.step)));
        return victims;
    }

    private boolean mayBeStopped(RunRow run, StepRow step) {
        StepRow other = run.task.step;
        return priority(other) > priority(step)
                && other.spec.checkpoints()
                && !other.spec.gang()
                && !other.spec.longRunning()
                && run.phase == RunPhase.RUNNING
                && !run.stopRequested()
                && tables.nowMs - run.orderedAtMs >= MIN_RUN_MS;
    }

    /** Returns what will be free once the runs have ended whose stops are already requested. */
    private static Resources stoppingResources(WorkerRow worker) {
        Resources stopping = Resources.empty();
        for (RunRow run : worker.runs.values()) {
            stopping = run.stopRequested() ? stopping.plus(run.resources) : stopping;
        }
        return stopping;
    }

    private static int priority(StepRow step) {
        return step.job.job.route().priority();
    }

    /** Returns the time until which the step's job keeps its full value. */
    private static long latestObjectiveMs(StepRow step) {
        return step.job.objectiveMs(step.occurrence);
    }

    /**
     * A run that may be stopped.
     *
     * @param run the run
     * @param capacity what is free on its worker in this tick
     */
    private record Victim(RunRow run, FreeCapacity capacity) {}
}
