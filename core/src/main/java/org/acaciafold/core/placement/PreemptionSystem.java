package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.port.StopMode;

/**
 * Makes room for workspaces below their share and for urgent jobs by checkpointing tasks of workspaces above theirs.
 *
 * <p>A few workers are looked at for each task that waits; the one is chosen on which the least has to stop, and it is
 * kept for the job until its room is free.
 */
final class PreemptionSystem {
    private static final long PATIENCE_MS = 2_000;
    private static final long HOLD_MS = 90_000;
    private static final int CANDIDATES = 12;
    private static final int CLAIMS_PER_TICK = 8;

    private final Tables tables;
    private final boolean enabled;
    private final List<ShapeQueue> claims = new ArrayList<>();

    PreemptionSystem(Tables tables, boolean enabled) {
        this.tables = tables;
        this.enabled = enabled;
    }

    private record Plan(WorkerRow worker, List<AttemptRow> victims, Resources spare, double cost) {}

    /** Notes a queue whose first job did not fit. */
    void claim(ShapeQueue queue) {
        if (enabled && claims.size() < CLAIMS_PER_TICK) {
            claims.add(queue);
        }
    }

    void run(Tick tick) {
        for (ShapeQueue queue : claims) {
            JobRow job = queue.head();
            if (job != null && !job.gang() && job.held.size() < job.waiting) {
                preempt(tick, queue, job);
            }
        }
        claims.clear();
    }

    private void preempt(Tick tick, ShapeQueue queue, JobRow job) {
        boolean urgent = job.jobClass == JobClass.URGENT;
        Resources claimed = job.spec.demand().times(job.held.size() + 1);
        boolean entitled = job.jobClass != JobClass.LOW && !job.workspace.aboveShare(claimed, tables.capacity);
        if (!urgent && !entitled || tick.nowMs < queue.preemptAtMs) {
            return;
        }
        if (!urgent && tick.nowMs - job.blockedSinceMs < PATIENCE_MS) {
            tryAgain(queue, job.blockedSinceMs + PATIENCE_MS);
            return;
        }
        Plan plan = cheapest(job);
        if (plan == null) {
            queue.preemptAtMs = tick.nowMs + PATIENCE_MS;
            tryAgain(queue, tick.nowMs + PATIENCE_MS);
            return;
        }
        String reason = "its room is needed by workspace " + job.workspace.id;
        plan.victims().forEach(victim -> tick.stop(victim, StopMode.CHECKPOINT, reason));
        tables.reserveWorker(plan.worker(), job, tick.nowMs, plan.spare());
        job.heldUntilMs = tick.nowMs + HOLD_MS;
        tables.timers.add(job.heldUntilMs, new TimedAction.EndHold(job, job.heldUntilMs));
        if (job.held.size() < job.waiting) {
            tryAgain(queue, tick.nowMs);
        }
    }

    private void tryAgain(ShapeQueue queue, long atMs) {
        if (!queue.timed) {
            queue.timed = true;
            tables.timers.add(atMs, new TimedAction.TryAgain(queue));
        }
    }

    private Plan cheapest(JobRow job) {
        Plan best = null;
        int slots = tables.slots.size();
        for (int i = 0; i < CANDIDATES; i++) {
            WorkerRow worker = tables.slots.get(tables.random.nextInt(slots));
            Plan plan = worker == null || !worker.usable() || worker.heldFor != null ? null : plan(worker, job);
            if (plan != null && (best == null || plan.cost() < best.cost())) {
                best = plan;
            }
        }
        return best;
    }

    /** Plans what to stop on a worker, null when the job would not fit even then. */
    private Plan plan(WorkerRow worker, JobRow job) {
        List<AttemptRow> candidates = new ArrayList<>(worker.attempts);
        candidates.removeIf(attempt -> !mayStop(attempt, job));
        candidates.sort(Comparator.<AttemptRow, Boolean>comparing(attempt -> attempt.task.job.jobClass != JobClass.LOW)
                .thenComparing(Comparator.<AttemptRow>comparingLong(attempt -> attempt.startedMs)
                        .reversed()));
        Resources free = worker.free;
        for (AttemptRow attempt : worker.attempts) {
            free = attempt.stopMode == null ? free : free.plus(attempt.demand);
        }
        List<AttemptRow> victims = new ArrayList<>();
        double cost = 0;
        for (AttemptRow candidate : candidates) {
            if (job.spec.demand().fitsIn(free)) {
                break;
            }
            victims.add(candidate);
            free = free.plus(candidate.demand);
            cost += candidate.demand.dominantShare(worker.spec.capacity());
        }
        Resources spare = free.minus(job.spec.demand());
        return job.spec.demand().fitsIn(free) ? new Plan(worker, victims, spare, cost) : null;
    }

    private boolean mayStop(AttemptRow attempt, JobRow claimant) {
        JobRow job = attempt.task.job;
        if (attempt.stopMode != null || job.service() || job.gang() || job.jobClass == JobClass.URGENT) {
            return false;
        }
        boolean low = job.jobClass == JobClass.LOW && claimant.jobClass != JobClass.LOW;
        boolean above = job.workspace != claimant.workspace
                && job.workspace.wasAboveShare
                && job.workspace.aboveShare(Resources.empty().minus(attempt.demand), tables.capacity);
        return low || above;
    }
}
