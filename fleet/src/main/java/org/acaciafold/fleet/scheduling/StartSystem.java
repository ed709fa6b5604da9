package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.Workspace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the tasks whose turn has come, in order of priority and urgency, where there is room. */
final class StartSystem {
    private static final Logger LOG = LoggerFactory.getLogger(StartSystem.class);

    /** A worker must have answered within this time; it covers one long renewal and its repetition. */
    private static final long CONTACT_MS = 3_500;

    /** A worker that refused a start as unhealthy, or had less room than known, is left out for this long. */
    private static final long REFUSED_PAUSE_MS = 1_000;

    /** Advice about a step is asked for again after this pause when its tickets ran out unused. */
    private static final long ADVICE_PAUSE_MS = 300;

    /** A step that found nobody to ask about looks again after this pause, the period of ticks without news. */
    private static final long NOBODY_TO_ASK_PAUSE_MS = 40;

    /** Ends of a broken gang are listed within this time by workers that answer. */
    private static final long BROKEN_GANG_MS = 400;

    /**
     * Tasks that come too late to be worth anything start only while less than this part of all processors is used, so that
     * jobs to come find room; the contract asks for their start when less than half is used.
     */
    private static final double MAX_USED_FOR_EXPIRED = 0.6;

    /** Gangs that may keep workers from starting other tasks while they wait for room. */
    private static final int MAX_WAITING_GANGS = 2;

    private final Tables tables;
    private final AdviceSystem advice;
    private int measurements;
    private TickCost cost = new TickCost(0, 0, 0);

    StartSystem(Tables tables, AdviceSystem advice) {
        this.tables = tables;
        this.advice = advice;
    }

    void answered(RunRow run, StartOutcome outcome) {
        StepRow step = run.task.step;
        switch (outcome) {
            case STARTED -> run.confirm(tables.nowMs);
            case UNKNOWN -> {
                if (run.phase == RunPhase.STARTING) {
                    run.phase = RunPhase.UNCONFIRMED;
                }
                run.worker.nextRenewalAtMs = Math.min(run.worker.nextRenewalAtMs, tables.nowMs);
            }
            default -> refused(run, outcome);
        }
        if (outcome != StartOutcome.STARTED && step.spec.gang()) {
            StopSystem.stopGang(step);
        }
    }

    /** Sends the orders of recorded runs that are still right. */
    void order(List<Effect> effects) {
        Map<StepRow, List<RunRow>> byStep = new LinkedHashMap<>();
        for (RunRow run : tables.startable) {
            byStep.computeIfAbsent(run.task.step, step -> new ArrayList<>()).add(run);
        }
        tables.startable.clear();
        byStep.forEach((step, runs) -> {
            boolean all = runs.stream().allMatch(this::orderable);
            for (RunRow run : runs) {
                if (all || !step.spec.gang() && orderable(run)) {
                    effects.add(order(run));
                } else {
                    LOG.info("claim dropped task={} run={} worker={}", run.task.name, run.number, run.worker.id);
                    tables.end(run);
                }
            }
        });
    }

    void run() {
        List<WorkerRow> usable = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            if (usable(worker)) {
                usable.add(worker);
            }
        }
        Placement placement = new Placement(usable);
        measurements = 0;
        FleetUtilization utilization = measureUtilization();
        advice.prepare();
        int waitingGangs = 0;
        List<QueueOrder.Entry> ready = QueueOrder.ready(tables);
        for (QueueOrder.Entry entry : ready) {
            StepRow step = entry.step();
            // the hopeless ones come last
            if (entry.rank() == QueueOrder.Rank.EXPIRED && utilization.share() >= MAX_USED_FOR_EXPIRED) {
                break;
            }
            boolean blocked = !place(step, placement, utilization);
            if (blocked && step.spec.gang() && waitingGangs < MAX_WAITING_GANGS && !step.adviceAsked) {
                waitingGangs++;
                keepRoom(step, placement);
            }
        }
        cost = new TickCost(ready.size(), placement.searches(), measurements);
    }

    /** Returns what the last run of this system had to look at. */
    TickCost cost() {
        return cost;
    }

    private void ask(StepRow step, Set<FreeCapacity> asked, Map<TaskRow, FreeCapacity> planned) {
        // no host may have been free for an earlier choice
        step.reserved.clear();
        planned.values().forEach(capacity -> {
            step.reserved.merge(capacity.worker.id, 1, Integer::sum);
            capacity.reserve(step.spec.each(), 1);
        });
        advice.request(
                step,
                asked.stream()
                        .limit(AdviceQueryPlanner.MAX_WORKERS)
                        .map(capacity -> capacity.worker.id)
                        .toList());
    }

    private FleetUtilization measureUtilization() {
        measurements++;
        return FleetUtilization.of(tables.workers.values());
    }

    /** Keeps workers free that, once empty, hold the whole gang; others may not start tasks there meanwhile. */
    private void keepRoom(StepRow step, Placement placement) {
        List<FreeCapacity> ordered = new ArrayList<>(placement.candidates(step));
        ordered.removeIf(capacity -> needsAdvice(step) && !step.allowed.contains(capacity.worker.id));
        ordered.sort(Comparator.comparingLong(FreeCapacity::cpuMillis).reversed());
        int missing = step.spec.count();
        for (FreeCapacity capacity : ordered) {
            if (missing <= 0) {
                return;
            }
            missing -= Placement.capacityFor(step, capacity);
            capacity.reserveAll();
        }
    }

    /** Starts what it can; false when tasks had to wait for room. */
    private boolean place(StepRow step, Placement placement, FleetUtilization utilization) {
        boolean mayAsk = needsAdvice(step) && advice.mayAsk(step);
        boolean searches = !needsAdvice(step) || mayAsk;
        boolean knowsNobody = !searches && !step.adviceAsked && step.allowed.isEmpty();
        if (!step.spec.gang() && (knowsNobody || searches && !placement.fitsAnywhere(step))) {
            return false;
        }
        List<TaskRow> tasks = withinLimit(step, step.waitingTasks());
        if (tasks.isEmpty()) {
            return true;
        }
        if (step.spec.gang() && tasks.size() < step.spec.count()) {
            stopRemains(step);
            return true;
        }
        step.brokenSinceMs = -1;
        if (step.adviceAsked) {
            holdReserved(step, placement);
            return true;
        }
        List<TaskRow> left = start(step, tasks, placement, utilization);
        if (left.isEmpty() || !needsAdvice(step)) {
            return left.isEmpty();
        }
        if (mayAsk) {
            return askFor(step, left, placement);
        }
        // what it will ask about again is not left to less urgent steps
        take(step, placement.choose(left, allowed(step, placement)));
        return !waitsForRoom(step);
    }

    /** Claims runs where there is room, and returns the tasks for which there was none. */
    private List<TaskRow> start(StepRow step, List<TaskRow> tasks, Placement placement, FleetUtilization utilization) {
        Map<TaskRow, FreeCapacity> chosen =
                placement.choose(tasks, needsAdvice(step) ? ticketed(step, placement) : placement.candidates(step));
        take(step, chosen);
        claim(step, chosen);
        utilization.add(step.spec.each(), chosen.size());
        List<TaskRow> left = new ArrayList<>(tasks);
        left.removeAll(chosen.keySet());
        return left;
    }

    private static void take(StepRow step, Map<TaskRow, FreeCapacity> chosen) {
        chosen.values().forEach(capacity -> capacity.reserve(step.spec.each(), 1));
    }

    /** Returns the workers with room in this tick that advice has allowed for a step, with or without a valid ticket. */
    private static List<FreeCapacity> allowed(StepRow step, Placement placement) {
        List<FreeCapacity> found = new ArrayList<>();
        for (String worker : step.allowed) {
            placement.freeCapacity(step, worker).ifPresent(found::add);
        }
        return found;
    }

    /** Returns the workers with room in this tick for which a step has valid tickets. */
    private List<FreeCapacity> ticketed(StepRow step, Placement placement) {
        step.tickets.values().removeIf(ticket -> ticket.expired(tables.nowMs));
        List<FreeCapacity> found = new ArrayList<>();
        for (String worker : step.tickets.keySet()) {
            placement
                    .freeCapacity(step, worker)
                    .filter(capacity -> ticketed(step, capacity.worker))
                    .ifPresent(found::add);
        }
        return found;
    }

    private boolean askFor(StepRow step, List<TaskRow> left, Placement placement) {
        List<FreeCapacity> unknown = new ArrayList<>();
        List<FreeCapacity> allowed = new ArrayList<>();
        for (FreeCapacity capacity : placement.candidates(step)) {
            if (step.allowed.contains(capacity.worker.id)) {
                allowed.add(capacity);
            } else if (!step.denied.contains(capacity.worker.id)) {
                unknown.add(capacity);
            }
        }
        Map<TaskRow, FreeCapacity> planned = placement.choose(left, allowed);
        // tickets that ran out are asked for again with what is still unknown
        Set<FreeCapacity> asked = new LinkedHashSet<>();
        planned.values().stream()
                .filter(capacity -> !ticketed(step, capacity.worker))
                .forEach(asked::add);
        double share = advice.allowedShare(step);
        if (step.spec.gang() && planned.isEmpty()) {
            asked.addAll(AdviceQueryPlanner.forGang(step, unknown, allowed, share));
        } else if (planned.size() < left.size()) {
            int tasks = left.size() - planned.size();
            asked.addAll(AdviceQueryPlanner.forTasks(step, tasks, placement.preferred(step, unknown), share));
        }
        step.waitsForRoom = asked.isEmpty();
        if (step.waitsForRoom) {
            step.adviceAfterMs = tables.nowMs + NOBODY_TO_ASK_PAUSE_MS;
            return false;
        }
        ask(step, asked, planned);
        return true;
    }

    private static void holdReserved(StepRow step, Placement placement) {
        step.reserved.forEach((id, count) ->
                placement.freeCapacity(step, id).ifPresent(capacity -> capacity.reserve(step.spec.each(), count)));
    }

    /** Tells whether a step found nobody to ask about just now. */
    private boolean waitsForRoom(StepRow step) {
        return step.waitsForRoom && tables.nowMs < step.adviceAfterMs;
    }

    private static boolean needsAdvice(StepRow step) {
        return step.job.job.route().advice().isPresent();
    }

    private Effect order(RunRow run) {
        WorkerRow worker = run.worker;
        StepRow step = run.task.step;
        long untilMs = worker.lease(tables.nowMs, tables.limits.leaseMs()).orElseThrow();
        worker.leaseMs = Math.max(worker.leaseMs, untilMs);
        run.phase = RunPhase.STARTING;
        run.orderedAtMs = tables.nowMs;
        Ticket ticket = step.tickets.get(worker.id);
        return new Effect.Start(
                worker.id,
                worker.address,
                run.task.name,
                run.number,
                step.job.job.spec(),
                untilMs,
                run.checkpoint,
                ticket == null ? "" : ticket.ticket());
    }

    /** Tells whether a claim is still right; time has passed since the choice. */
    private boolean orderable(RunRow run) {
        StepRow step = run.task.step;
        return step.job.active()
                && !run.task.done
                && !run.stopRequested()
                && run.worker.runs.get(run.task.name) == run
                && usable(run.worker)
                && (!needsAdvice(step) || ticketed(step, run.worker));
    }

    private void refused(RunRow run, StartOutcome outcome) {
        LOG.warn("start refused task={} run={} worker={} reason={}", run.task.name, run.number, run.worker.id, outcome);
        tables.end(run);
        if (outcome == StartOutcome.NO_TICKET) {
            run.task.step.tickets.remove(run.worker.id);
            run.task.step.adviceAfterMs = tables.nowMs + ADVICE_PAUSE_MS;
        } else if (outcome != StartOutcome.OLD_RUN) {
            run.worker.refusedUntilMs = tables.nowMs + REFUSED_PAUSE_MS;
        }
    }

    private void claim(StepRow step, Map<TaskRow, FreeCapacity> chosen) {
        int gangRun = step.nextGangRun(tables.firstRun);
        chosen.forEach((task, capacity) -> {
            int number = step.spec.gang() ? gangRun : Math.max(task.lastRun + 1, tables.firstRun);
            RunRow run = new RunRow(task, number, capacity.worker, step.spec.each());
            run.checkpoint = task.checkpoint;
            tables.begin(run);
            tables.claimed.add(run);
        });
        if (!chosen.isEmpty()) {
            LOG.info(
                    "claim job={} step={}.{} tasks={} of={} priority={} waitedMs={} config={}",
                    step.job.job.id(),
                    step.occurrence,
                    step.index,
                    chosen.size(),
                    step.spec.count(),
                    step.job.job.route().priority(),
                    step.readyAtMs < 0 ? 0 : tables.nowMs - step.readyAtMs,
                    tables.config.version());
        }
    }

    /** Stops members of a gang that others have left, unless their ends are about to be listed. */
    private void stopRemains(StepRow step) {
        step.brokenSinceMs = step.brokenSinceMs < 0 ? tables.nowMs : step.brokenSinceMs;
        if (tables.nowMs - step.brokenSinceMs > BROKEN_GANG_MS) {
            StopSystem.stopGang(step);
        }
    }

    private boolean ticketed(StepRow step, WorkerRow worker) {
        Ticket ticket = step.tickets.get(worker.id);
        return ticket != null && ticket.valid(tables.nowMs, worker.incarnation);
    }

    private boolean usable(WorkerRow worker) {
        Optional<WorkerEntry> entry = worker.entry();
        return worker.registered
                && worker.missedRenewals == 0
                && !worker.suspect
                && worker.contactAtMs >= 0
                && tables.nowMs - worker.contactAtMs <= CONTACT_MS
                && tables.nowMs >= worker.pausedUntilMs
                && tables.nowMs >= worker.refusedUntilMs
                && entry.isPresent()
                && !entry.get().draining()
                && !tables.evacuated.contains(entry.get().domain())
                && !tables.unreconciled.contains(worker);
    }

    private List<TaskRow> withinLimit(StepRow step, List<TaskRow> waiting) {
        String name = step.job.job.workspace();
        Resources limit = tables.config.workspace(name).map(Workspace::limit).orElse(Resources.empty());
        Resources used = tables.usedByWorkspace.getOrDefault(name, Resources.empty());
        List<TaskRow> allowed = new ArrayList<>();
        for (TaskRow task : waiting) {
            used = used.plus(step.spec.each());
            if (within(used, limit)) {
                allowed.add(task);
            }
        }
        return allowed;
    }

    private static boolean within(Resources used, Resources limit) {
        return (limit.cpuMillis() == 0 || used.cpuMillis() <= limit.cpuMillis())
                && (limit.memoryMib() == 0 || used.memoryMib() <= limit.memoryMib())
                && (limit.accelerators() == 0 || used.accelerators() <= limit.accelerators());
    }
}
