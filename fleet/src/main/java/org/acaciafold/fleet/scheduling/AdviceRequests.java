package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Requests advice for the waiting tasks of a step, about the workers that most likely fit them. */
final class AdviceRequests {
    /** Delay before a step retries that found no worker to request advice about; the tick period without events. */
    private static final long NO_CANDIDATES_RETRY_MS = 40;

    private final Tables tables;
    private final AdviceSystem advice;
    private final DenialReview reviews;

    AdviceRequests(Tables tables, AdviceSystem advice, DenialReview reviews) {
        this.tables = tables;
        this.advice = advice;
        this.reviews = reviews;
    }

    /** Selects the workers to request advice about; returns false when there are none. */
    boolean plan(StepRow step, List<TaskRow> unplaced, Placement placement, boolean mostIsUsed) {
        List<FreeCapacity> unknown = new ArrayList<>();
        List<FreeCapacity> allowed = new ArrayList<>();
        List<FreeCapacity> denied = new ArrayList<>();
        for (FreeCapacity capacity : placement.candidates(step)) {
            if (step.allows(capacity.worker)) {
                allowed.add(capacity);
            } else {
                (step.denies(capacity.worker) ? denied : unknown).add(capacity);
            }
        }
        Map<TaskRow, FreeCapacity> planned = placement.choose(unplaced, allowed);
        Set<FreeCapacity> workers = select(step, unplaced, planned, allowed, unknown, placement, mostIsUsed);
        if (workers.isEmpty()) {
            List<FreeCapacity> doubtful = reviews.doubtful(step, denied);
            workers = doubtful.isEmpty()
                    ? workers
                    : select(step, unplaced, planned, allowed, doubtful, placement, mostIsUsed);
        }
        step.waitsForCapacity = workers.isEmpty();
        if (step.waitsForCapacity) {
            step.adviceAfterMs = tables.nowMs + NO_CANDIDATES_RETRY_MS;
            reviews.offer(step, denied, mostIsUsed);
            return false;
        }
        request(step, workers, planned, mostIsUsed);
        return true;
    }

    private Set<FreeCapacity> select(
            StepRow step,
            List<TaskRow> unplaced,
            Map<TaskRow, FreeCapacity> planned,
            List<FreeCapacity> allowed,
            List<FreeCapacity> unknown,
            Placement placement,
            boolean mostIsUsed) {
        // expired tickets are requested again in the same call as the unknown workers
        Set<FreeCapacity> selected = new LinkedHashSet<>(planned.values());
        if (step.spec.gang() && !planned.isEmpty()) {
            selected.addAll(AdviceQueryPlanner.sparesForGang(step, allowed));
        }
        long answeredAtMs = tables.nowMs + advice.callMs(step, selected.size());
        selected.removeIf(capacity -> step.hasTicketUntil(answeredAtMs, capacity.worker));
        double allowedShare = advice.allowedShare(step);
        if (step.spec.gang() && planned.isEmpty()) {
            selected.addAll(AdviceQueryPlanner.forGang(step, unknown, allowed, allowedShare, mostIsUsed));
        } else if (planned.size() < unplaced.size()) {
            int tasks = unplaced.size() - planned.size();
            selected.addAll(
                    AdviceQueryPlanner.forTasks(step, tasks, placement.orderByPreference(step, unknown), allowedShare));
        }
        return selected;
    }

    private void request(
            StepRow step, Set<FreeCapacity> workers, Map<TaskRow, FreeCapacity> planned, boolean mostIsUsed) {
        // drops the reservations of an earlier request that was not sent because no host was free
        step.reserved.clear();
        boolean requested = advice.request(
                step,
                workers.stream()
                        .limit(AdviceQueryPlanner.MAX_WORKERS)
                        .map(capacity -> capacity.worker.id)
                        .toList());
        step.waitReason = requested ? WaitReason.ADVICE_CALL : WaitReason.NO_ADVICE_HOST;
        if (requested || mostIsUsed) {
            planned.values().forEach(capacity -> {
                step.reserved.merge(capacity.worker.id, 1, Integer::sum);
                capacity.reserve(step.spec.each(), 1);
            });
        }
    }
}
