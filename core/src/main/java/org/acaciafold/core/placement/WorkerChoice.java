package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/** Chooses a worker for a task out of a few that fit. */
final class WorkerChoice {
    private static final int CANDIDATES = 3;

    private final Tables tables;
    private boolean exhausted;

    WorkerChoice(Tables tables) {
        this.tables = tables;
    }

    /** Finds a worker with room for a task, null when there is none. */
    WorkerRow choose(TaskRow task) {
        exhausted = true;
        Resources demand = task.job.spec.demand();
        WorkerRow found = null;
        if (demand.accelerators() == 0) {
            found = best(tables.plainIndex, demand, task);
        }
        return found == null ? best(tables.acceleratedIndex, demand, task) : found;
    }

    /** Tells whether the last search saw all workers that might fit. */
    boolean exhausted() {
        return exhausted;
    }

    private WorkerRow best(WorkerIndex index, Resources demand, TaskRow task) {
        WorkerRow best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (int i = 0; i < CANDIDATES; i++) {
            WorkerRow worker = candidate(index, demand, task);
            if (worker == null) {
                break;
            }
            double score = score(worker, demand, task);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    private WorkerRow candidate(WorkerIndex index, Resources demand, TaskRow task) {
        int from = tables.random.nextInt(index.size());
        int slot = index.find(demand, from, candidate -> tables.slots.get(candidate) != task.lastFailedOn);
        if (slot == WorkerIndex.NONE && task.lastFailedOn != null) {
            slot = index.find(demand, from, candidate -> true);
        }
        if (slot == WorkerIndex.UNKNOWN) {
            exhausted = false;
        }
        return slot < 0 ? null : tables.slots.get(slot);
    }

    private double score(WorkerRow worker, Resources demand, TaskRow task) {
        Resources left = worker.free().minus(demand);
        double free = left.dominantShare(worker.spec.capacity());
        if (!task.job.service()) {
            return free;
        }
        return switch (task.job.team.terms.service()) {
            case ServicePolicy.Spread spread -> replicas(worker, task.job) - free;
            case ServicePolicy.Pack pack -> free;
        };
    }

    private static int replicas(WorkerRow worker, JobRow job) {
        int count = 0;
        for (AttemptRow attempt : worker.attempts) {
            count += attempt.task.job == job ? 1 : 0;
        }
        return count;
    }
}
