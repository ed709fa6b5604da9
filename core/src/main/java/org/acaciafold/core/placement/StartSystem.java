package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.acaciafold.core.model.Resources;

/** Starts waiting tasks: by class, and within a class by the weighted dominant shares of the teams. */
final class StartSystem {
    private static final int STARTS_PER_TICK = 512;

    private final Tables tables;
    private final WorkerChoice choice;
    private int startsLeft;

    StartSystem(Tables tables) {
        this.tables = tables;
        this.choice = new WorkerChoice(tables);
    }

    private record Turn(TeamRow team, double share, int order) {}

    void run(Tick tick) {
        if (!tables.open) {
            return;
        }
        tables.blocked.unblock();
        startsLeft = STARTS_PER_TICK;
        for (JobClass jobClass : JobClass.values()) {
            startClass(tick, jobClass);
        }
    }

    private void startClass(Tick tick, JobClass jobClass) {
        PriorityQueue<Turn> turns =
                new PriorityQueue<>(Comparator.comparingDouble(Turn::share).thenComparingInt(Turn::order));
        int order = 0;
        for (TeamRow team : tables.teams.values()) {
            if (team.queue(jobClass).first() != null) {
                turns.add(turn(team, order));
            }
            order++;
        }
        while (startsLeft > 0 && !turns.isEmpty()) {
            Turn turn = turns.poll();
            ShapeQueue queue = turn.team().queue(jobClass).first();
            if (queue != null) {
                startHead(tick, queue);
                turns.add(turn(turn.team(), turn.order()));
            }
        }
    }

    private void startHead(Tick tick, ShapeQueue queue) {
        JobRow job = queue.head();
        if (job.gang()) {
            startGang(tick, queue, job);
        } else {
            startOne(tick, queue, job);
        }
    }

    private void startOne(Tick tick, ShapeQueue queue, JobRow job) {
        if (!job.team.allows(queue.demand)) {
            queue.parent.block(queue);
            tables.blocked.blockForAllotment(queue);
            return;
        }
        TaskRow task = job.takeTask(tables.firstAttempt);
        WorkerRow worker = choice.choose(task);
        if (worker == null) {
            job.retries.addFirst(task);
            queue.parent.block(queue);
            tables.blocked.blockForRoom(queue, !choice.exhausted());
            return;
        }
        emit(tick, reserve(tick, task, worker));
        queue.parent.reorder(queue);
    }

    private void startGang(Tick tick, ShapeQueue queue, JobRow job) {
        if (!job.team.allows(queue.demand.times(job.waiting))) {
            queue.parent.block(queue);
            tables.blocked.blockForAllotment(queue);
            return;
        }
        if (job.running > 0 || !startAll(tick, job)) {
            queue.parent.block(queue);
            tables.blocked.blockForRoom(queue, job.running > 0 || !choice.exhausted());
            return;
        }
        queue.parent.reorder(queue);
    }

    /** Reserves room for all tasks of a gang and starts them, or reserves nothing. */
    private boolean startAll(Tick tick, JobRow job) {
        Resources free = tables.capacity.minus(tables.reserved);
        if (!job.spec.demand().times(job.waiting).fitsIn(free)) {
            return false;
        }
        List<AttemptRow> attempts = new ArrayList<>(job.waiting);
        while (job.hasReadyTask()) {
            TaskRow task = job.takeTask(tables.firstAttempt);
            WorkerRow worker = choice.choose(task);
            if (worker == null) {
                job.retries.addFirst(task);
                attempts.forEach(this::undo);
                return false;
            }
            attempts.add(reserve(tick, task, worker));
        }
        attempts.forEach(attempt -> emit(tick, attempt));
        return true;
    }

    private AttemptRow reserve(Tick tick, TaskRow task, WorkerRow worker) {
        task.lastAttempt++;
        AttemptRow attempt = new AttemptRow(task, task.lastAttempt, worker, tick.nowMs);
        task.current = attempt;
        task.job.running++;
        tables.addWaiting(task.job, -1);
        tables.reserve(attempt);
        return attempt;
    }

    private void emit(Tick tick, AttemptRow attempt) {
        startsLeft--;
        tick.decisions.add(
                new Decision.Start(attempt.task.id(), attempt.worker.spec.id(), attempt.number, attempt.task.job.spec));
    }

    private void undo(AttemptRow attempt) {
        TaskRow task = attempt.task;
        tables.release(attempt);
        task.current = null;
        task.job.running--;
        task.job.retries.add(task);
        tables.addWaiting(task.job, 1);
    }

    private Turn turn(TeamRow team, int order) {
        return new Turn(team, team.weightedShare(tables.capacity), order);
    }
}
