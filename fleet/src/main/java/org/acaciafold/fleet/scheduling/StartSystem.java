package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.StartOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the tasks of ready steps, in order of priority and urgency, where capacity is free. */
final class StartSystem {
    private static final Logger LOG = LoggerFactory.getLogger(StartSystem.class);

    /** How long a worker gets no tasks after it refused a start as unhealthy, or had less capacity than recorded. */
    private static final long REFUSAL_BACKOFF_MS = 1_000;

    /** Delay before a step requests advice again after a worker refused a start whose ticket had expired unused. */
    private static final long ADVICE_RETRY_MS = 300;

    /** Responsive workers report the ends of an incomplete gang within this time. */
    private static final long INCOMPLETE_GANG_GRACE_MS = 400;

    /**
     * Expired steps start tasks only while less than this share of their service's CPU is used, so that capacity stays
     * free for new jobs; the contract requires that they start when less than half is used.
     */
    private static final double MAX_UTILIZATION_FOR_EXPIRED = 0.6;

    /**
     * Waiting gangs reserve capacity only while at least this share of their service's CPU is used; below it, a task
     * that fits must not wait for another one.
     */
    private static final double MIN_UTILIZATION_FOR_RESERVATIONS = 0.5;

    /** Gangs that may block workers for other tasks while they wait for capacity. */
    private static final int MAX_WAITING_GANGS = 2;

    private final Tables tables;
    private final AdviceSystem advice;
    private final AdviceRequests requests;
    private final DenialReview reviews;
    private final PreemptionSystem preemption;
    private final WaitReporter waits;
    private final DrainSystem drains;
    private final LostWorkerAdvice lostWorkers;
    private int measurements;
    private TickCost cost = new TickCost(0, 0, 0);

    StartSystem(Tables tables, AdviceSystem advice) {
        this.tables = tables;
        this.advice = advice;
        this.reviews = new DenialReview(tables, advice);
        this.requests = new AdviceRequests(tables, advice, reviews);
        this.preemption = new PreemptionSystem(tables);
        this.waits = new WaitReporter(tables);
        this.drains = new DrainSystem(tables);
        this.lostWorkers = new LostWorkerAdvice(tables, advice);
    }

    void answered(RunRow run, StartOutcome outcome) {
        StepRow step = run.task.step;
        switch (outcome) {
            case STARTED -> run.confirm(tables.nowMs);
            case UNKNOWN -> {
                if (run.phase == RunPhase.STARTING) {
                    run.phase = RunPhase.UNCONFIRMED;
                }
                run.worker.lateCalls.startUnanswered(run, tables.nowMs);
                run.worker.nextRenewalAtMs = Math.min(run.worker.nextRenewalAtMs, tables.nowMs);
            }
            default -> handleRefusal(run, outcome);
        }
        if (outcome != StartOutcome.STARTED && step.spec.gang()) {
            StopSystem.stopGang(step);
        }
    }

    /** Sends the start orders of recorded runs that are still valid. */
    void sendOrders(List<Effect> effects) {
        Map<StepRow, List<RunRow>> byStep = new LinkedHashMap<>();
        for (RunRow run : tables.startable) {
            byStep.computeIfAbsent(run.task.step, step -> new ArrayList<>()).add(run);
        }
        tables.startable.clear();
        byStep.forEach((step, runs) -> {
            boolean allCanOrder = runs.stream().allMatch(this::canOrder);
            for (RunRow run : runs) {
                if (allCanOrder || !step.spec.gang() && canOrder(run)) {
                    effects.add(startOrder(run));
                } else {
                    LOG.info("claim dropped task={} run={} worker={}", run.task.name, run.number, run.worker.id);
                    tables.end(run);
                }
            }
        });
    }

    void run() {
        List<WorkerRow> eligible = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            if (Eligibility.eligible(worker, tables)) {
                eligible.add(worker);
            }
        }
        Placement placement = new Placement(eligible, tables.nowMs);
        measurements = 0;
        FleetUtilization utilization = measureUtilization();
        advice.countFreeSlots();
        preemption.beginTick();
        lostWorkers.run(placement);
        int waitingGangs = 0;
        List<QueueOrder.Entry> ready = QueueOrder.readySteps(tables);
        for (QueueOrder.Entry entry : ready) {
            StepRow step = entry.step();
            double usedShare = utilization.usedShare(service(step));
            if (entry.rank() == QueueOrder.Rank.EXPIRED && usedShare >= MAX_UTILIZATION_FOR_EXPIRED) {
                step.waitReason = WaitReason.SERVICE_USED;
                continue;
            }
            boolean blocked = !placeStep(step, placement, utilization);
            if (blocked && step.spec.gang() && waitingGangs < MAX_WAITING_GANGS && !step.waitsForAdvice()) {
                waitingGangs++;
                if (mostIsUsed(step, utilization)) {
                    GangReservation.reserve(step, placement);
                }
            } else if (blocked) {
                preemption.preemptFor(entry, placement);
            }
        }
        reviews.run();
        waits.report(ready, placement);
        drains.run(placement);
        cost = new TickCost(ready.size(), placement.searches(), measurements);
    }

    /** Returns how much the last run of this system had to process. */
    TickCost cost() {
        return cost;
    }

    private FleetUtilization measureUtilization() {
        measurements++;
        return FleetUtilization.of(tables.workers.values());
    }

    /** Starts the tasks that fit or requests advice for them; returns false when tasks have to wait for capacity. */
    private boolean placeStep(StepRow step, Placement placement, FleetUtilization utilization) {
        boolean canRequest = needsAdvice(step) && advice.canRequest(step);
        boolean searchesCandidates = !needsAdvice(step) || canRequest;
        boolean noAllowedWorkers = !searchesCandidates && !step.adviceInFlight && step.allowed.isEmpty();
        if (!step.spec.gang() && (noAllowedWorkers || searchesCandidates && !placement.fitsAnywhere(step))) {
            step.waitReason = noAllowedWorkers ? reasonWithoutRequest(step) : WaitReason.NO_CAPACITY;
            return false;
        }
        List<TaskRow> tasks = WorkspaceLimits.startable(step, tables);
        step.waitReason = WaitReason.WORKSPACE_LIMIT;
        if (tasks.isEmpty()) {
            return true;
        }
        if (step.spec.gang() && tasks.size() < step.spec.count()) {
            step.waitReason = step.hasNoRuns() ? WaitReason.WORKSPACE_LIMIT : WaitReason.GANG_INCOMPLETE;
            stopIncompleteGang(step);
            return true;
        }
        step.incompleteSinceMs = -1;
        if (step.waitsForAdvice()) {
            step.waitReason = WaitReason.ADVICE_CALL;
            if (!step.callUnanswered || mostIsUsed(step, utilization)) {
                reapplyReservations(step, placement);
            }
            return true;
        }
        List<TaskRow> unplaced = startTasks(step, tasks, placement, utilization);
        if (unplaced.isEmpty() || !needsAdvice(step)) {
            step.waitReason = reasonAfterStarts(step, unplaced);
            return unplaced.isEmpty();
        }
        if (canRequest) {
            step.waitReason = WaitReason.NO_CAPACITY;
            return requests.plan(step, unplaced, placement, mostIsUsed(step, utilization));
        }
        step.waitReason = reasonWithoutRequest(step);
        if (mostIsUsed(step, utilization)) {
            // keeps less urgent steps from using the workers that the next request will include
            reserve(step, placement.choose(unplaced, placement.usable(step)));
        }
        return !waitsForCapacity(step);
    }

    private WaitReason reasonWithoutRequest(StepRow step) {
        if (step.reviewInFlight) {
            return WaitReason.ADVICE_CALL;
        }
        if (waitsForCapacity(step)) {
            return WaitReason.NO_CAPACITY;
        }
        return tables.nowMs < step.adviceAfterMs ? WaitReason.ADVICE_PAUSE : WaitReason.NO_ADVICE_HOST;
    }

    private static WaitReason reasonAfterStarts(StepRow step, List<TaskRow> unplaced) {
        if (!unplaced.isEmpty()) {
            return WaitReason.NO_CAPACITY;
        }
        return step.hasWaitingTasks() ? WaitReason.WORKSPACE_LIMIT : WaitReason.NONE;
    }

    /** Claims runs where capacity is free, and returns the tasks that did not fit. */
    private List<TaskRow> startTasks(
            StepRow step, List<TaskRow> tasks, Placement placement, FleetUtilization utilization) {
        Map<TaskRow, FreeCapacity> chosen = placement.choose(
                tasks, needsAdvice(step) ? ticketedWorkers(step, placement) : placement.candidates(step));
        reserve(step, chosen);
        claimRuns(step, chosen);
        utilization.add(service(step), step.spec.each(), chosen.size());
        List<TaskRow> unplaced = new ArrayList<>(tasks);
        unplaced.removeAll(chosen.keySet());
        return unplaced;
    }

    private static void reserve(StepRow step, Map<TaskRow, FreeCapacity> chosen) {
        chosen.values().forEach(capacity -> capacity.reserve(step.spec.each(), 1));
    }

    /** Returns the workers eligible in this tick for which a step has valid tickets. */
    private List<FreeCapacity> ticketedWorkers(StepRow step, Placement placement) {
        step.tickets.values().removeIf(ticket -> ticket.expired(tables.nowMs));
        List<FreeCapacity> found = new ArrayList<>();
        for (String worker : step.tickets.keySet()) {
            placement
                    .freeCapacity(step, worker)
                    .filter(capacity -> hasValidTicket(step, capacity.worker))
                    .ifPresent(found::add);
        }
        return found;
    }

    /** Reserves the capacity of a call in flight again, since each tick computes the free capacity anew. */
    private static void reapplyReservations(StepRow step, Placement placement) {
        step.reserved.forEach((id, count) ->
                placement.freeCapacity(step, id).ifPresent(capacity -> capacity.reserve(step.spec.each(), count)));
    }

    /** Returns whether the step found no worker to request advice about and its retry is not due yet. */
    private boolean waitsForCapacity(StepRow step) {
        return step.waitsForCapacity && (step.reviewInFlight || tables.nowMs < step.adviceAfterMs);
    }

    /** Returns whether a step may wait for capacity that others use. */
    private static boolean mostIsUsed(StepRow step, FleetUtilization utilization) {
        return utilization.usedShare(service(step)) >= MIN_UTILIZATION_FOR_RESERVATIONS;
    }

    private static String service(StepRow step) {
        return step.job.service();
    }

    private static boolean needsAdvice(StepRow step) {
        return step.job.advice().isPresent();
    }

    private Effect startOrder(RunRow run) {
        WorkerRow worker = run.worker;
        StepRow step = run.task.step;
        long leaseUntilMs = worker.lease(tables.nowMs, tables.limits).orElseThrow();
        worker.leaseSent(leaseUntilMs);
        worker.lateCalls.startSent(tables.nowMs);
        run.phase = RunPhase.STARTING;
        run.orderedAtMs = tables.nowMs;
        Ticket ticket = step.tickets.get(worker.id);
        return new Effect.Start(
                worker.id,
                worker.address(),
                run.task.name,
                run.number,
                step.job.job.spec(),
                leaseUntilMs,
                run.checkpoint,
                ticket == null ? "" : ticket.ticket());
    }

    /** Returns whether a claim is still valid, since conditions may have changed while it was recorded. */
    private boolean canOrder(RunRow run) {
        StepRow step = run.task.step;
        return step.job.active()
                && !run.task.done
                && !run.stopRequested()
                && run.worker.runs.get(run.task.name) == run
                && Eligibility.eligible(run.worker, tables)
                && run.worker.withinCapacity()
                && (!needsAdvice(step) || hasValidTicket(step, run.worker));
    }

    private void handleRefusal(RunRow run, StartOutcome outcome) {
        LOG.warn("start refused task={} run={} worker={} reason={}", run.task.name, run.number, run.worker.id, outcome);
        tables.end(run);
        if (outcome == StartOutcome.NO_TICKET) {
            run.task.step.tickets.remove(run.worker.id);
            run.task.step.adviceAfterMs = tables.nowMs + ADVICE_RETRY_MS;
        } else if (outcome != StartOutcome.OLD_RUN) {
            run.worker.refusedUntilMs = tables.nowMs + REFUSAL_BACKOFF_MS;
        }
    }

    private void claimRuns(StepRow step, Map<TaskRow, FreeCapacity> chosen) {
        int gangRun = step.nextGangRun(tables.firstRun);
        chosen.forEach((task, capacity) -> {
            int number = step.spec.gang() ? gangRun : Math.max(task.lastRun + 1, tables.firstRun);
            RunRow run = new RunRow(task, number, capacity.worker, step.spec.each());
            run.checkpoint = task.checkpoint;
            tables.begin(run);
            tables.claimed.add(run);
            if (task.suspect()) {
                capacity.worker.trialUntilMs = tables.nowMs + CrashHistory.EARLY_MS;
            }
        });
        if (!chosen.isEmpty()) {
            waits.claimed(step, chosen.size());
        }
    }

    /** Stops the remaining members of a gang that others have left, unless their ends are about to be reported. */
    private void stopIncompleteGang(StepRow step) {
        step.incompleteSinceMs = step.incompleteSinceMs < 0 ? tables.nowMs : step.incompleteSinceMs;
        if (tables.nowMs - step.incompleteSinceMs > INCOMPLETE_GANG_GRACE_MS) {
            StopSystem.stopGang(step);
        }
    }

    private boolean hasValidTicket(StepRow step, WorkerRow worker) {
        return step.hasTicketUntil(tables.nowMs, worker);
    }
}
