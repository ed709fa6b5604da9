package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.AdviceSettings;

/**
 * Requests advice for the tasks that last on silent workers before the leases there have run out, so that these tasks
 * start again without waiting for a call then.
 */
final class LostWorkerAdvice {
    /** How long before the end of a lease the answer is wanted, since the call may have to wait for a host. */
    private static final long AHEAD_MS = 700;

    /** The part of a ticket's validity that may pass before the lease has run out. */
    private static final int VALIDITY_PARTS = 3;

    private final Tables tables;
    private final AdviceSystem advice;

    LostWorkerAdvice(Tables tables, AdviceSystem advice) {
        this.tables = tables;
        this.advice = advice;
    }

    void run(Placement placement) {
        Map<StepRow, List<RunRow>> runsByStep = new LinkedHashMap<>();
        for (WorkerRow worker : tables.workers.values()) {
            if (lost(worker)) {
                worker.runs.values().stream()
                        .filter(this::endsSoon)
                        .forEach(run -> runsByStep
                                .computeIfAbsent(run.task.step, step -> new ArrayList<>())
                                .add(run));
            }
        }
        runsByStep.forEach((step, runs) -> request(step, runs, placement));
    }

    /**
     * Returns whether a worker owes an answer: a call has failed, or it was silent before this term and is late with its
     * first answer.
     */
    private static boolean lost(WorkerRow worker) {
        return worker.missedRenewals > 0 || worker.silent() && worker.suspect;
    }

    private boolean endsSoon(RunRow run) {
        StepRow step = run.task.step;
        boolean startsAgain = step.spec.longRunning() && !step.spec.gang() && step.job.active();
        if (!startsAgain || step.job.advice().isEmpty()) {
            return false;
        }
        AdviceSettings settings = step.job.advice().get();
        long aheadMs = settings.callMs(1) + Math.min(AHEAD_MS, settings.validMs() / VALIDITY_PARTS);
        return run.worker.leaseExpired(tables.nowMs + aheadMs);
    }

    private void request(StepRow step, List<RunRow> runs, Placement placement) {
        if (!advice.canRequest(step)) {
            return;
        }
        List<TaskRow> unplaced = new ArrayList<>();
        runs.forEach(run -> unplaced.add(run.task));
        List<FreeCapacity> ticketed = new ArrayList<>();
        List<FreeCapacity> allowed = new ArrayList<>();
        List<FreeCapacity> unknown = new ArrayList<>();
        for (FreeCapacity capacity : placement.candidates(step)) {
            if (hasTicketAfterLeases(step, capacity.worker, runs)) {
                ticketed.add(capacity);
            } else if (step.allows(capacity.worker)) {
                allowed.add(capacity);
            } else if (!step.denies(capacity.worker)) {
                unknown.add(capacity);
            }
        }
        unplaced.removeAll(placement.choose(unplaced, ticketed).keySet());
        Map<TaskRow, FreeCapacity> planned = placement.choose(unplaced, allowed);
        unplaced.removeAll(planned.keySet());
        Set<FreeCapacity> requested = new LinkedHashSet<>(planned.values());
        if (!unplaced.isEmpty()) {
            requested.addAll(AdviceQueryPlanner.forTasks(
                    step, unplaced.size(), placement.orderByPreference(step, unknown), advice.allowedShare(step)));
        }
        advice.request(
                step,
                requested.stream()
                        .limit(AdviceQueryPlanner.MAX_WORKERS)
                        .map(capacity -> capacity.worker.id)
                        .toList());
    }

    private boolean hasTicketAfterLeases(StepRow step, WorkerRow worker, List<RunRow> runs) {
        Ticket ticket = step.tickets.get(worker.id);
        return ticket != null
                && ticket.valid(tables.nowMs, worker.incarnation)
                && runs.stream().allMatch(run -> run.worker.leaseExpired(ticket.expiresAtMs()));
    }
}
