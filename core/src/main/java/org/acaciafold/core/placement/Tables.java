package org.acaciafold.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.TeamId;
import org.acaciafold.core.model.WorkerId;

/** The tables of workers, jobs and teams, with the indexes that every change keeps up to date. */
final class Tables {
    final List<WorkerRow> slots = new ArrayList<>();
    final Map<WorkerId, WorkerRow> workers = new HashMap<>();
    final Map<JobId, JobRow> jobs = new HashMap<>();
    final Map<TeamId, TeamRow> teams = new LinkedHashMap<>();
    final WorkerIndex plainIndex = new WorkerIndex();
    final WorkerIndex acceleratedIndex = new WorkerIndex();
    final BlockedQueues blocked = new BlockedQueues();
    final Deque<JobRow> cancelled = new ArrayDeque<>();
    final Deque<WorkerRow> draining = new ArrayDeque<>();
    final Deque<AttemptRow> unwanted = new ArrayDeque<>();
    final SplittableRandom random;
    final long firstAttempt;
    Resources capacity = Resources.empty();
    Resources reserved = Resources.empty();
    int waiting;
    int running;
    boolean open = true;

    private final Deque<Integer> freeSlots = new ArrayDeque<>();
    private long nextSequence;

    Tables(long seed, long firstAttempt) {
        this.random = new SplittableRandom(seed);
        this.firstAttempt = firstAttempt;
    }

    /** Changes how many tasks of a job wait. */
    void addWaiting(JobRow job, int change) {
        job.waiting += change;
        waiting += change;
        TeamRow team = job.team;
        team.waitingDemand = team.waitingDemand.plus(job.spec.demand().times(change));
    }

    /** Puts a job with a task to start into its queue. */
    void enqueue(JobRow job) {
        if (job.live() && job.hasReadyTask()) {
            job.team.queue(job.jobClass).add(job, QueueOrder.key(job));
        }
    }

    JobRow job(JobSpec spec) {
        return jobs.computeIfAbsent(spec.id(), id -> new JobRow(spec, team(spec.team()), nextSequence++));
    }

    TeamRow team(TeamId id) {
        return teams.computeIfAbsent(id, TeamRow::new);
    }

    /** Finds the attempt that holds resources, null when there is none. */
    AttemptRow attempt(TaskId id, long number) {
        TaskRow task = task(id);
        return task == null ? null : task.attempt(number).orElse(null);
    }

    TaskRow task(TaskId id) {
        JobRow job = jobs.get(id.job());
        return job == null ? null : job.tasks.get(id.index());
    }

    /** Makes an attempt hold the resources of its task. */
    void reserve(AttemptRow attempt) {
        WorkerRow worker = attempt.worker;
        worker.attempts.add(attempt);
        worker.used = worker.used.plus(attempt.demand);
        TeamRow team = attempt.task.job.team;
        team.used = team.used.plus(attempt.demand);
        reserved = reserved.plus(attempt.demand);
        running++;
        reindex(worker);
    }

    /** Makes an attempt hold nothing any more. */
    void release(AttemptRow attempt) {
        WorkerRow worker = attempt.worker;
        worker.attempts.remove(attempt);
        worker.used = worker.used.minus(attempt.demand);
        TeamRow team = attempt.task.job.team;
        team.used = team.used.minus(attempt.demand);
        reserved = reserved.minus(attempt.demand);
        running--;
        reindex(worker);
        blocked.allotmentFreed(team);
        if (worker.removed && worker.attempts.isEmpty()) {
            forget(worker);
        }
    }

    /** Adds a worker or changes it. */
    WorkerRow put(WorkerSpec spec, WorkerState state) {
        WorkerRow worker = workers.get(spec.id());
        if (worker == null) {
            worker = new WorkerRow(takeSlot(), spec, state);
            workers.put(spec.id(), worker);
            slots.set(worker.slot, worker);
            addCapacity(worker, 1);
        } else {
            addCapacity(worker, -1);
            worker.spec = spec;
            worker.state = state;
            worker.removed = false;
            addCapacity(worker, 1);
        }
        reindex(worker);
        return worker;
    }

    /** Forgets a worker as soon as nothing runs on it. */
    void remove(WorkerRow worker) {
        addCapacity(worker, -1);
        worker.removed = true;
        worker.state = WorkerState.UNREACHABLE;
        reindex(worker);
        if (worker.attempts.isEmpty()) {
            forget(worker);
        }
    }

    private void addCapacity(WorkerRow worker, int sign) {
        if (worker.ready()) {
            capacity = capacity.plus(worker.spec.capacity().times(sign));
        }
    }

    private void forget(WorkerRow worker) {
        workers.remove(worker.spec.id());
        slots.set(worker.slot, null);
        freeSlots.add(worker.slot);
    }

    private void reindex(WorkerRow worker) {
        plainIndex.clear(worker.slot);
        acceleratedIndex.clear(worker.slot);
        if (!worker.ready()) {
            return;
        }
        Resources free = worker.free();
        index(worker.accelerated()).set(worker.slot, free);
        blocked.roomFreed(free);
    }

    private WorkerIndex index(boolean accelerated) {
        return accelerated ? acceleratedIndex : plainIndex;
    }

    private int takeSlot() {
        if (!freeSlots.isEmpty()) {
            return freeSlots.poll();
        }
        slots.add(null);
        return slots.size() - 1;
    }
}
