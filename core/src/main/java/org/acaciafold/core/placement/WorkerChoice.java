package org.acaciafold.core.placement;

import java.util.Set;
import java.util.function.IntPredicate;

import org.acaciafold.core.model.Resources;

/** Selects a worker for a task from a few candidates that fit. */
final class WorkerChoice {
    private static final int CANDIDATES = 3;
    private static final int SERVICE_CANDIDATES = 8;
    private static final double RUN_TIME_QUANTILE = 0.9;

    private final Tables tables;
    private final boolean tightFit;
    private boolean exhausted;
    private boolean avoidsProbes;
    private boolean usesSpare;

    WorkerChoice(Tables tables, Set<PlacementFeature> features) {
        this.tables = tables;
        this.tightFit = features.contains(PlacementFeature.TIGHT_FIT);
    }

    /** Returns a worker with enough free capacity for a task, or null if there is none. */
    WorkerRow choose(TaskRow task, long nowMs) {
        exhausted = true;
        avoidsProbes = task.job.gang() || task.job.jobClass == JobClass.URGENT;
        WorkerRow found = reservedWorker(task);
        if (found == null && spreads(task.job)) {
            found = bestInIndexes(task, slot -> spreadsOn(tables.slots.get(slot), task.job));
        }
        if (found == null && task.lastFailedOn != null) {
            found = bestInIndexes(task, slot -> tables.slots.get(slot) != task.lastFailedOn);
        }
        if (found == null) {
            found = bestInIndexes(task, slot -> true);
        }
        if (found == null && avoidsProbes) {
            avoidsProbes = false;
            found = bestInIndexes(task, slot -> true);
        }
        usesSpare = found != null && found.reservedFor != null && found.reservedFor != task.job;
        return found == null ? backfill(task, nowMs) : found;
    }

    /** Returns whether the last choice uses the spare capacity of a worker that is reserved for another job. */
    boolean usesSpare() {
        return usesSpare;
    }

    /** Returns whether the last search examined all workers that might fit. */
    boolean exhausted() {
        return exhausted;
    }

    private WorkerRow reservedWorker(TaskRow task) {
        for (WorkerRow worker : task.job.reservedWorkers) {
            if (worker.usable() && task.job.spec.demand().fitsIn(worker.free)) {
                return worker;
            }
        }
        return null;
    }

    private WorkerRow bestInIndexes(TaskRow task, IntPredicate accept) {
        WorkerRow found = null;
        if (task.job.spec.demand().accelerators() == 0) {
            found = best(tables.plainIndex, task, accept);
        }
        return found == null ? best(tables.acceleratedIndex, task, accept) : found;
    }

    /** Finds a worker that is reserved for another job and is expected to be free again before that job needs it. */
    private WorkerRow backfill(TaskRow task, long nowMs) {
        if (task.job.service() || task.job.gang()) {
            return null;
        }
        long endMs = nowMs + tables.runTimes.expectedMs(task.job.spec, RUN_TIME_QUANTILE);
        return candidate(tables.reservedIndex, task, slot -> tables.slots.get(slot).reservationStartMs >= endMs);
    }

    private WorkerRow best(WorkerIndex index, TaskRow task, IntPredicate accept) {
        WorkerRow best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        int candidates = task.job.service() ? SERVICE_CANDIDATES : CANDIDATES;
        for (int i = 0; i < candidates; i++) {
            WorkerRow worker = candidate(index, task, accept);
            if (worker == null) {
                break;
            }
            double score = score(worker, task.job);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    private WorkerRow candidate(WorkerIndex index, TaskRow task, IntPredicate accept) {
        Resources demand = task.job.spec.demand();
        int from = tables.random.nextInt(index.size());
        int slot = index.find(demand, from, candidate -> {
            boolean trusted = tables.slots.get(candidate).trust == WorkerRow.Trust.TRUSTED;
            return (trusted || !avoidsProbes) && accept.test(candidate);
        });
        if (slot == WorkerIndex.LIMIT_REACHED) {
            exhausted = false;
        }
        return slot < 0 ? null : tables.slots.get(slot);
    }

    /** Returns the score of a worker for a job; the lowest score wins. */
    private double score(WorkerRow worker, JobRow job) {
        Resources remaining = worker.unreservedCapacity().minus(job.spec.demand());
        double freeShare = remaining.dominantShare(worker.spec.capacity());
        if (spreads(job)) {
            return job.replicasPerRack.getOrDefault(worker.spec.rack(), 0) - freeShare;
        }
        return tightFit ? freeShare : -freeShare;
    }

    private static boolean spreads(JobRow job) {
        return job.service()
                && switch (job.workspace.quota.service()) {
                    case ServicePolicy.Spread spread -> true;
                    case ServicePolicy.Pack pack -> false;
                };
    }

    private static boolean spreadsOn(WorkerRow worker, JobRow job) {
        int perRack = ((ServicePolicy.Spread) job.workspace.quota.service()).perRack();
        if (job.replicasPerRack.getOrDefault(worker.spec.rack(), 0) >= perRack) {
            return false;
        }
        for (AttemptRow attempt : worker.attempts) {
            if (attempt.task.job == job) {
                return false;
            }
        }
        return true;
    }
}
