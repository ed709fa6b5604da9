package org.acaciafold.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.Decision;
import org.acaciafold.core.placement.JobProgress;
import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.PlacementSummary;
import org.acaciafold.core.placement.WorkerSpec;
import org.acaciafold.core.placement.WorkerState;
import org.acaciafold.core.placement.WorkspaceQuota;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskView;

/** A baseline engine that places jobs in the order of submission and scans all workers. */
final class BaselinePlacementEngine implements PlacementEngine {
    private static final int JOBS_EXAMINED_PER_TICK = 200;
    private static final int MAX_FAILURES = 5;

    /** How a worker is chosen among those with enough free capacity. */
    enum Choice {
        FIRST_FIT,
        LEAST_LOADED
    }

    private final Choice choice;
    private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
    private final Map<JobId, Job> jobs = new HashMap<>();
    private final Map<WorkspaceId, Resources> allotments = new HashMap<>();
    private final Map<WorkspaceId, Resources> used = new HashMap<>();
    private final LinkedList<Job> queue = new LinkedList<>();
    private final List<Decision> stops = new ArrayList<>();
    private boolean open = true;
    private int waitingTasks;
    private int runningTasks;

    BaselinePlacementEngine(Choice choice) {
        this.choice = choice;
    }

    private static final class Worker {
        WorkerSpec spec;
        WorkerState state;
        Resources free;
    }

    private record Run(int index, long attempt, Worker worker) {}

    private static final class Job {
        final JobSpec spec;
        final LinkedList<Integer> waiting = new LinkedList<>();
        final Map<Integer, Run> running = new HashMap<>();
        final Map<Integer, Integer> failures = new HashMap<>();
        int succeeded;
        int failed;
        long attempts;
        boolean cancelled;

        Job(JobSpec spec) {
            this.spec = spec;
        }

        boolean gang() {
            return spec.kind() instanceof JobKind.Gang;
        }
    }

    @Override
    public void adopt(WorkerId worker, TaskView view) {
        throw new UnsupportedOperationException("a replay never adopts running tasks");
    }

    @Override
    public void cancel(JobId id) {
        Job job = jobs.get(id);
        if (job != null && !job.cancelled) {
            job.cancelled = true;
            waitingTasks -= job.waiting.size();
            job.waiting.clear();
            queue.remove(job);
            job.running.values().forEach(run -> stop(job, run, StopMode.KILL));
        }
    }

    @Override
    public void ended(TaskEnd end, long nowMs) {
        Job job = jobs.get(end.task().job());
        int index = end.task().index();
        free(job, index);
        boolean service = job.spec.kind() instanceof JobKind.Service;
        if (end.reason() == EndReason.SUCCEEDED && !service) {
            job.succeeded++;
        } else if (end.reason() == EndReason.FAILED
                && job.failures.merge(index, 1, Integer::sum) >= MAX_FAILURES
                && !service) {
            job.failed++;
        } else {
            requeue(job, index);
        }
    }

    @Override
    public void lost(TaskId task, long attempt) {
        Job job = jobs.get(task.job());
        free(job, task.index());
        requeue(job, task.index());
    }

    @Override
    public void setOpen(boolean value) {
        open = value;
        if (!open) {
            for (Job job : jobs.values()) {
                job.running.values().forEach(run -> stop(job, run, StopMode.CHECKPOINT));
            }
        }
    }

    @Override
    public Optional<JobProgress> progress(JobId id) {
        return Optional.ofNullable(jobs.get(id))
                .map(job -> new JobProgress(
                        job.waiting.size(), job.running.size(), job.succeeded, job.failed, Optional.empty()));
    }

    @Override
    public void putWorker(WorkerSpec spec, WorkerState state) {
        Worker worker = workers.computeIfAbsent(spec.id(), id -> new Worker());
        worker.free = worker.spec == null ? spec.capacity() : worker.free;
        worker.spec = spec;
        worker.state = state;
    }

    @Override
    public void refused(TaskId task, long attempt, long nowMs) {
        lost(task, attempt);
    }

    @Override
    public void removeJob(JobId id) {
        Job job = jobs.remove(id);
        waitingTasks -= job.waiting.size();
        queue.remove(job);
    }

    @Override
    public void removeWorker(WorkerId worker) {
        workers.remove(worker);
    }

    @Override
    public void started(TaskId task, long attempt, long nowMs) {
        // a task counts as running from the start decision on
    }

    @Override
    public void submit(JobSpec spec, BitSet ended, long nowMs) {
        Job job = new Job(spec);
        job.succeeded = ended.cardinality();
        job.attempts = nowMs;
        for (int i = ended.nextClearBit(0); i < spec.kind().tasks(); i = ended.nextClearBit(i + 1)) {
            job.waiting.add(i);
        }
        waitingTasks += job.waiting.size();
        jobs.put(spec.id(), job);
        queue.add(job);
    }

    @Override
    public PlacementSummary summary() {
        Resources capacity = Resources.empty();
        Resources free = Resources.empty();
        for (Worker worker : workers.values()) {
            capacity = capacity.plus(worker.spec.capacity());
            free = free.plus(worker.free);
        }
        return new PlacementSummary(capacity, capacity.minus(free), waitingTasks, runningTasks);
    }

    @Override
    public void setQuota(WorkspaceId workspace, WorkspaceQuota quota) {
        allotments.put(workspace, quota.allotment());
    }

    @Override
    public List<Decision> tick(long nowMs) {
        List<Decision> decisions = new ArrayList<>(stops);
        stops.clear();
        Iterator<Job> iterator = queue.iterator();
        for (int examined = 0; open && examined < JOBS_EXAMINED_PER_TICK && iterator.hasNext(); examined++) {
            Job job = iterator.next();
            start(job, decisions);
            if (job.waiting.isEmpty()) {
                iterator.remove();
            }
        }
        return decisions;
    }

    @Override
    public Resources usage(WorkspaceId workspace) {
        return used.getOrDefault(workspace, Resources.empty());
    }

    private void start(Job job, List<Decision> decisions) {
        if (job.gang()) {
            startGang(job, decisions);
            return;
        }
        while (!job.waiting.isEmpty()) {
            Worker worker = fitsAllotment(job, 1) ? chooseWorker(job.spec.demand()) : null;
            if (worker == null) {
                return;
            }
            decisions.add(start(job, worker));
        }
    }

    private void startGang(Job job, List<Decision> decisions) {
        if (!job.running.isEmpty() || !fitsAllotment(job, job.waiting.size())) {
            return;
        }
        List<Worker> chosen = new ArrayList<>();
        while (chosen.size() < job.waiting.size()) {
            Worker worker = chooseWorker(job.spec.demand());
            if (worker == null) {
                break;
            }
            worker.free = worker.free.minus(job.spec.demand());
            chosen.add(worker);
        }
        chosen.forEach(worker -> worker.free = worker.free.plus(job.spec.demand()));
        if (chosen.size() == job.waiting.size()) {
            chosen.forEach(worker -> decisions.add(start(job, worker)));
        }
    }

    private Decision start(Job job, Worker worker) {
        int index = job.waiting.poll();
        waitingTasks--;
        runningTasks++;
        Run run = new Run(index, ++job.attempts, worker);
        job.running.put(index, run);
        worker.free = worker.free.minus(job.spec.demand());
        used.merge(job.spec.workspace(), job.spec.demand(), Resources::plus);
        return new Decision.Start(job.spec.task(index), worker.spec.id(), run.attempt(), job.spec);
    }

    private boolean fitsAllotment(Job job, int tasks) {
        Resources wanted = usage(job.spec.workspace()).plus(job.spec.demand().times(tasks));
        return wanted.fitsIn(allotments.getOrDefault(job.spec.workspace(), Resources.empty()));
    }

    private Worker chooseWorker(Resources demand) {
        Worker best = null;
        for (Worker worker : workers.values()) {
            if (worker.state != WorkerState.READY || !demand.fitsIn(worker.free)) {
                continue;
            }
            if (choice == Choice.FIRST_FIT) {
                return worker;
            }
            if (best == null || worker.free.cpuMillis() > best.free.cpuMillis()) {
                best = worker;
            }
        }
        return best;
    }

    private void free(Job job, int index) {
        Run run = job.running.remove(index);
        runningTasks--;
        run.worker().free = run.worker().free.plus(job.spec.demand());
        used.merge(job.spec.workspace(), job.spec.demand(), Resources::minus);
    }

    private void stop(Job job, Run run, StopMode mode) {
        boolean service = job.spec.kind() instanceof JobKind.Service;
        stops.add(new Decision.StopTask(
                job.spec.task(run.index()),
                run.worker().spec.id(),
                run.attempt(),
                service ? StopMode.DRAIN : mode,
                "stopped"));
    }

    private void requeue(Job job, int index) {
        if (job.cancelled) {
            return;
        }
        if (job.waiting.isEmpty()) {
            queue.add(job);
        }
        job.waiting.add(index);
        waitingTasks++;
    }
}
