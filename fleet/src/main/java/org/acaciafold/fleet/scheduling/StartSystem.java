package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.StartOutcome;
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

    /** The contract's bound of workers in one call for advice. */
    private static final int MAX_ADVICE_WORKERS = 100;

    /** Ends of a broken gang are listed within this time by workers that answer. */
    private static final long BROKEN_GANG_MS = 400;

    /**
     * Tasks that come too late to be worth anything start only while less than this part of all processors is used, so that
     * jobs to come find room; the contract asks for their start when less than half is used.
     */
    private static final double MAX_USED_FOR_HOPELESS = 0.6;

    /** Gangs that may keep workers from starting other tasks while they wait for room. */
    private static final int MAX_WAITING_GANGS = 2;

    private final Tables tables;
    private final AdviceSystem advice;

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
                run.worker.nextHoldAtMs = Math.min(run.worker.nextHoldAtMs, tables.nowMs);
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
        List<WorkerRow> usable =
                tables.workers.values().stream().filter(this::usable).toList();
        Placement room = new Placement(usable);
        int waitingGangs = 0;
        for (QueueOrder.Entry entry : QueueOrder.ready(tables)) {
            StepRow step = entry.step();
            // the hopeless ones come last
            if (entry.rank() == QueueOrder.Rank.HOPELESS && usedShare() >= MAX_USED_FOR_HOPELESS) {
                return;
            }
            List<WorkerRow> candidates =
                    usable.stream().filter(worker -> eligible(step, worker)).toList();
            boolean blocked = !place(step, candidates, room);
            if (blocked && step.spec.gang() && waitingGangs < MAX_WAITING_GANGS && !step.adviceAsked) {
                waitingGangs++;
                keepRoom(step, candidates, room);
            }
        }
    }

    private void ask(StepRow step, List<WorkerRow> candidates, Placement room, Map<TaskRow, WorkerRow> planned) {
        List<String> workers = new ArrayList<>();
        for (WorkerRow worker : candidates) {
            boolean unknown = !step.allowed.contains(worker.id)
                    && !step.denied.contains(worker.id)
                    && worthAsking(step, worker, room);
            if (workers.size() < MAX_ADVICE_WORKERS && (unknown || planned.containsValue(worker))) {
                workers.add(worker.id);
            }
        }
        planned.values().forEach(worker -> {
            step.reserved.merge(worker.id, 1, Integer::sum);
            room.take(worker, step.spec.each());
        });
        advice.want(step, workers);
    }

    private boolean eligible(StepRow step, WorkerRow worker) {
        return worker.entry()
                .filter(entry -> entry.service().equals(step.job.job.route().service()))
                .filter(entry -> step.spec.label().isEmpty() || entry.labels().contains(step.spec.label()))
                .isPresent();
    }

    /** Keeps workers free that, once empty, hold the whole gang; others may not start tasks there meanwhile. */
    private void keepRoom(StepRow step, List<WorkerRow> candidates, Placement room) {
        List<WorkerRow> ordered = new ArrayList<>(candidates);
        ordered.removeIf(worker -> needsAdvice(step) && !step.allowed.contains(worker.id));
        ordered.sort(
                (a, b) -> Long.compare(room.free(b).cpuMillis(), room.free(a).cpuMillis()));
        int missing = step.spec.count();
        for (WorkerRow worker : ordered) {
            if (missing <= 0) {
                return;
            }
            missing -= Placement.capacityFor(step, worker);
            room.close(worker);
        }
    }

    /** Returns which part of the processors of all registered workers is used; 1 when there are none. */
    private double usedShare() {
        long used = 0;
        long all = 0;
        for (WorkerRow worker : tables.workers.values()) {
            used += worker.used.cpuMillis();
            all += worker.listed
                    ? worker.entry().map(entry -> entry.capacity().cpuMillis()).orElse(0L)
                    : 0;
        }
        return all == 0 ? 1 : (double) used / all;
    }

    /** Starts what it can; false when tasks had to wait for room. */
    private boolean place(StepRow step, List<WorkerRow> candidates, Placement room) {
        List<TaskRow> tasks = withinLimit(step, step.waiting());
        boolean gang = step.spec.gang();
        if (tasks.isEmpty()) {
            return true;
        }
        if (gang && tasks.size() < step.spec.count()) {
            stopRemains(step);
            return true;
        }
        step.brokenSinceMs = -1;
        if (step.adviceAsked) {
            holdReserved(step, room);
            return true;
        }
        List<WorkerRow> admitted = candidates.stream()
                .filter(worker -> !needsAdvice(step) || ticketed(step, worker))
                .toList();
        Map<TaskRow, WorkerRow> chosen = room.choose(tasks, admitted);
        if (gang && chosen.size() < tasks.size()) {
            chosen = Map.of();
        }
        chosen.forEach((task, worker) -> room.take(worker, step.spec.each()));
        claim(step, chosen);
        List<TaskRow> left = new ArrayList<>(tasks);
        left.removeAll(chosen.keySet());
        return left.isEmpty() || needsAdvice(step) && askFor(step, left, candidates, room);
    }

    private boolean askFor(StepRow step, List<TaskRow> left, List<WorkerRow> candidates, Placement room) {
        List<WorkerRow> open = candidates.stream()
                .filter(worker -> !step.denied.contains(worker.id) && !ticketed(step, worker))
                .toList();
        boolean unknown =
                open.stream().anyMatch(worker -> !step.allowed.contains(worker.id) && worthAsking(step, worker, room));
        List<WorkerRow> allowed = candidates.stream()
                .filter(worker -> step.allowed.contains(worker.id))
                .toList();
        Map<TaskRow, WorkerRow> planned = room.choose(left, allowed);
        if (step.spec.gang() && planned.size() < left.size()) {
            planned = Map.of();
        }
        if (planned.isEmpty() && !unknown) {
            return false;
        }
        ask(step, open, room, planned);
        return true;
    }

    private void holdReserved(StepRow step, Placement room) {
        step.reserved.forEach((id, count) -> {
            WorkerRow worker = tables.workers.get(id);
            if (worker != null) {
                room.take(worker, step.spec.each().times(count));
            }
        });
    }

    /** A gang has to know all its workers before it can wait for them; single tasks only need one with room. */
    private static boolean worthAsking(StepRow step, WorkerRow worker, Placement room) {
        return step.spec.gang() || step.spec.each().fitsIn(room.free(worker));
    }

    private static boolean needsAdvice(StepRow step) {
        return step.job.job.route().advice().isPresent();
    }

    private Effect order(RunRow run) {
        WorkerRow worker = run.worker;
        StepRow step = run.task.step;
        long untilMs = worker.lease(tables.nowMs, tables.terms.leaseMs()).orElseThrow();
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
                && !run.stopWanted()
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

    private void claim(StepRow step, Map<TaskRow, WorkerRow> chosen) {
        int gangRun = step.nextGangRun(tables.firstRun);
        chosen.forEach((task, worker) -> {
            int number = step.spec.gang() ? gangRun : Math.max(task.lastRun + 1, tables.firstRun);
            RunRow run = new RunRow(task, number, worker, step.spec.each());
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
        return ticket != null && ticket.valid(tables.nowMs, worker.bornMs);
    }

    private boolean usable(WorkerRow worker) {
        return worker.listed
                && worker.missed == 0
                && !worker.suspect
                && worker.contactAtMs >= 0
                && tables.nowMs - worker.contactAtMs <= CONTACT_MS
                && tables.nowMs >= worker.pausedUntilMs
                && tables.nowMs >= worker.refusedUntilMs
                && !tables.unsettled.contains(worker)
                && worker.entry()
                        .filter(entry -> !entry.draining() && !tables.evacuated.contains(entry.domain()))
                        .isPresent();
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
