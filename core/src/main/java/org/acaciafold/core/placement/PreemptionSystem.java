package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.port.StopMode;

/**
 * Frees capacity for workspaces below their share and for urgent jobs by checkpointing tasks of workspaces above
 * their share, and tasks of low priority.
 *
 * <p>For each waiting task, the system examines a few workers and chooses the one on which the least has to stop. That
 * worker is reserved for the job until its capacity is free.
 */
final class PreemptionSystem {
    private static final long PREEMPTION_DELAY_MS = 2_000;
    private static final long RESERVATION_MS = 90_000;
    private static final int CANDIDATES = 12;
    private static final int REQUESTS_PER_TICK = 8;

    private final Tables tables;
    private final boolean enabled;
    private final List<ShapeQueue> requests = new ArrayList<>();

    PreemptionSystem(Tables tables, boolean enabled) {
        this.tables = tables;
        this.enabled = enabled;
    }

    private record Plan(WorkerRow worker, List<AttemptRow> victims, Resources spare, double cost) {}

    /** Requests preemption for a queue whose first job did not fit. */
    void requestPreemption(ShapeQueue queue) {
        if (enabled && requests.size() < REQUESTS_PER_TICK) {
            requests.add(queue);
        }
    }

    void run(Tick tick) {
        for (ShapeQueue queue : requests) {
            JobRow job = queue.head();
            if (job != null && !job.gang() && job.reservedWorkers.size() < job.waiting) {
                preempt(tick, queue, job);
            }
        }
        requests.clear();
    }

    private void preempt(Tick tick, ShapeQueue queue, JobRow job) {
        boolean urgent = job.jobClass == JobClass.URGENT;
        Resources demand = job.spec.demand().times(job.reservedWorkers.size() + 1);
        boolean entitled = job.jobClass != JobClass.LOW && !job.workspace.aboveShare(demand, tables.capacity);
        if (!urgent && !entitled || tick.nowMs < queue.preemptAtMs) {
            return;
        }
        if (!urgent && tick.nowMs - job.blockedSinceMs < PREEMPTION_DELAY_MS) {
            scheduleRetry(queue, job.blockedSinceMs + PREEMPTION_DELAY_MS);
            return;
        }
        Plan plan = cheapest(job);
        if (plan == null) {
            queue.preemptAtMs = tick.nowMs + PREEMPTION_DELAY_MS;
            scheduleRetry(queue, tick.nowMs + PREEMPTION_DELAY_MS);
            return;
        }
        String reason = "its capacity is needed by workspace " + job.workspace.id;
        plan.victims().forEach(victim -> tick.stop(victim, StopMode.CHECKPOINT, reason));
        tables.reserveWorker(plan.worker(), job, tick.nowMs, plan.spare());
        job.reservedUntilMs = tick.nowMs + RESERVATION_MS;
        tables.timers.add(job.reservedUntilMs, new TimedAction.ReleaseReservation(job, job.reservedUntilMs));
        if (job.reservedWorkers.size() < job.waiting) {
            scheduleRetry(queue, tick.nowMs);
        }
    }

    private void scheduleRetry(ShapeQueue queue, long atMs) {
        if (!queue.retryScheduled) {
            queue.retryScheduled = true;
            tables.timers.add(atMs, new TimedAction.RetryQueue(queue));
        }
    }

    private Plan cheapest(JobRow job) {
        Plan best = null;
        int slots = tables.slots.size();
        for (int i = 0; i < CANDIDATES; i++) {
            WorkerRow worker = tables.slots.get(tables.random.nextInt(slots));
            Plan plan = worker == null || !worker.usable() || worker.reservedFor != null ? null : plan(worker, job);
            if (plan != null && (best == null || plan.cost() < best.cost())) {
                best = plan;
            }
        }
        return best;
    }

    /** Returns a plan of the attempts to stop on a worker, or null if the job would not fit even then. */
    private Plan plan(WorkerRow worker, JobRow job) {
        List<AttemptRow> candidates = new ArrayList<>(worker.attempts);
        candidates.removeIf(attempt -> !preemptible(attempt, job));
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

    private boolean preemptible(AttemptRow attempt, JobRow requester) {
        JobRow job = attempt.task.job;
        if (attempt.stopMode != null || job.service() || job.gang() || job.jobClass == JobClass.URGENT) {
            return false;
        }
        boolean low = job.jobClass == JobClass.LOW && requester.jobClass != JobClass.LOW;
        boolean above = job.workspace != requester.workspace
                && job.workspace.aboveShareAtTickStart
                && job.workspace.aboveShare(Resources.empty().minus(attempt.demand), tables.capacity);
        return low || above;
    }
}
