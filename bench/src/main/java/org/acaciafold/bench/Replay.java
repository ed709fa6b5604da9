package org.acaciafold.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.ManualClock;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.Decision;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.JobProgress;
import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.PlacementFeature;
import org.acaciafold.core.placement.ServicePolicy;
import org.acaciafold.core.placement.WorkerSpec;
import org.acaciafold.core.placement.WorkerState;
import org.acaciafold.core.placement.WorkspaceQuota;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.TaskEnd;

/** Replays a workload against one placement engine per failure domain, with simulated workers. */
final class Replay {
    private static final long CHECKPOINT_MS = 1_000;
    private static final long KILL_MS = 100;
    private static final long FAILING_WORKER_RUN_MS = 200;
    private static final long FAILING_JOB_RUN_MS = 500;
    private static final long RESTART_MS = 500;
    private static final long SAMPLE_INTERVAL_MS = 1_000;

    private final Workload workload;
    private final ManualClock clock = ManualClock.of(0);
    private final List<PlacementEngine> engines = new ArrayList<>();
    private final boolean[] open;
    private final Map<JobId, SimJob> jobs = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final PriorityQueue<PendingEnd> ends =
            new PriorityQueue<>(Comparator.comparingLong(PendingEnd::atMs).thenComparingLong(PendingEnd::sequence));
    private final Measures measures;
    private int nextArrival;
    private long sequence;
    private boolean drainStarted;
    private boolean domainReopened;
    private boolean jobsCancelled;

    Replay(Workload workload, Policy policy, long seed, Set<PlacementFeature> without) {
        this.workload = workload;
        this.open = new boolean[workload.domains().size()];
        this.measures = new Measures(workload);
        for (int i = 0; i < workload.domains().size(); i++) {
            engines.add(configure(
                    policy.createEngine(seed + i, without), workload.domains().get(i)));
            open[i] = true;
        }
    }

    private static final class SimJob {
        final Workload.Arrival arrival;
        final BitSet ended = new BitSet();
        final Map<Integer, Long> waitingSinceMs = new HashMap<>();
        final Map<Integer, Long> progressMs = new HashMap<>();
        int domain;

        SimJob(Workload.Arrival arrival, int domain) {
            this.arrival = arrival;
            this.domain = domain;
        }
    }

    private record Run(SimJob job, Decision.Start start, int domain, long startMs) {}

    private record PendingEnd(long atMs, long sequence, Run run, EndReason reason) {}

    /** Runs the workload to its end and returns the measurements. */
    Measures run() {
        long nextSampleMs = 0;
        while (clock.nowMs() < workload.durationMs()) {
            submitArrivals();
            applyEnds();
            drainFirstDomain();
            cancelJobs();
            for (int domain = 0; domain < engines.size(); domain++) {
                tick(domain);
            }
            if (clock.nowMs() >= nextSampleMs) {
                measures.sample(clock.nowMs(), engines, open);
                nextSampleMs += SAMPLE_INTERVAL_MS;
            }
            clock.advance(workload.tickMs());
        }
        runs.values().forEach(run -> measures.addWork(run.start().spec(), run.startMs(), clock.nowMs()));
        jobs.values().forEach(this::recordCensoredWaits);
        return measures;
    }

    private PlacementEngine configure(PlacementEngine engine, List<WorkerSpec> workers) {
        Resources capacity = workers.stream().map(WorkerSpec::capacity).reduce(Resources.empty(), Resources::plus);
        workload.weights()
                .forEach((workspace, weight) -> engine.setQuota(
                        workspace,
                        new WorkspaceQuota(
                                weight,
                                capacity,
                                new ServicePolicy.Spread(2),
                                new BatchPolicy.DeadlineOrder(1.5),
                                new GangPolicy.Reserve(5_000))));
        workers.forEach(worker -> engine.putWorker(worker, WorkerState.READY));
        return engine;
    }

    private void submitArrivals() {
        while (nextArrival < workload.arrivals().size()
                && workload.arrivals().get(nextArrival).atMs() <= clock.nowMs()) {
            Workload.Arrival arrival = workload.arrivals().get(nextArrival++);
            SimJob job = new SimJob(arrival, chooseDomain(arrival.spec().id()));
            jobs.put(arrival.spec().id(), job);
            measures.arrived(arrival);
            submit(job);
        }
    }

    private void submit(SimJob job) {
        long begin = System.nanoTime();
        engines.get(job.domain).submit(job.arrival.spec(), (BitSet) job.ended.clone(), clock.nowMs());
        measures.addEngineTime(System.nanoTime() - begin);
    }

    /** Returns the one of two open domains, chosen by the job's hash, that has fewer waiting and running tasks. */
    private int chooseDomain(JobId job) {
        int first = openDomain(Math.floorMod(job.hashCode(), engines.size()));
        int second = openDomain(Math.floorMod(job.hashCode() / engines.size() + first + 1, engines.size()));
        return domainLoad(first) <= domainLoad(second) ? first : second;
    }

    private int openDomain(int from) {
        for (int i = 0; i < engines.size(); i++) {
            int domain = (from + i) % engines.size();
            if (open[domain]) {
                return domain;
            }
        }
        return from;
    }

    private double domainLoad(int domain) {
        var summary = engines.get(domain).summary();
        return summary.waiting() + summary.running();
    }

    private void applyEnds() {
        while (!ends.isEmpty() && ends.peek().atMs() <= clock.nowMs()) {
            PendingEnd end = ends.poll();
            if (runs.remove(key(end.run().start())) != null) {
                apply(end);
            }
        }
    }

    private void apply(PendingEnd end) {
        Run run = end.run();
        SimJob job = run.job();
        JobSpec spec = run.start().spec();
        int index = run.start().task().index();
        long ranMs = end.atMs() - run.startMs();
        job.waitingSinceMs.put(index, end.atMs());
        if (end.reason() == EndReason.SUCCEEDED) {
            job.ended.set(index);
            measures.recordWait(spec, end.atMs() - job.arrival.atMs() - job.arrival.runMs());
            measures.succeeded(spec, jobsCancelled && workload.cancelled().contains(spec));
        }
        if (end.reason() == EndReason.CHECKPOINTED) {
            job.progressMs.merge(index, Math.max(0, ranMs - CHECKPOINT_MS), Long::sum);
        }
        if (end.reason() == EndReason.SUCCEEDED || end.reason() == EndReason.CHECKPOINTED) {
            measures.addWork(spec, run.startMs(), end.atMs());
        }
        long begin = System.nanoTime();
        engines.get(run.domain())
                .ended(
                        new TaskEnd(sequence, run.start().task(), run.start().attempt(), end.reason(), "", ranMs),
                        clock.nowMs());
        measures.addEngineTime(System.nanoTime() - begin);
    }

    private void drainFirstDomain() {
        if (!drainStarted && clock.nowMs() >= workload.drainWindow().fromMs()) {
            drainStarted = true;
            open[0] = false;
            engines.get(0).setOpen(false);
        }
        if (drainStarted && !domainReopened) {
            moveDrainedJobs();
            if (clock.nowMs() >= workload.drainWindow().toMs()) {
                domainReopened = true;
                open[0] = true;
                engines.get(0).setOpen(true);
            }
        }
    }

    /** Moves the jobs of the first domain that have no running task to the other domains. */
    private void moveDrainedJobs() {
        for (SimJob job : jobs.values()) {
            JobId id = job.arrival.spec().id();
            if (job.domain != 0 || workload.cancelled().contains(job.arrival.spec()) && jobsCancelled) {
                continue;
            }
            JobProgress progress = engines.get(0).progress(id).orElse(null);
            if (progress != null && progress.running() == 0 && progress.waiting() > 0) {
                engines.get(0).removeJob(id);
                job.domain = chooseDomain(id);
                submit(job);
            }
        }
    }

    private void cancelJobs() {
        if (jobsCancelled || clock.nowMs() < workload.cancelAtMs()) {
            return;
        }
        jobsCancelled = true;
        long begin = System.nanoTime();
        for (JobSpec spec : workload.cancelled()) {
            SimJob job = jobs.get(spec.id());
            if (job != null) {
                measures.cancelled(job.arrival, job.ended.cardinality());
                engines.get(job.domain).cancel(spec.id());
            }
        }
        measures.addEngineTime(System.nanoTime() - begin);
    }

    private void tick(int domain) {
        long begin = System.nanoTime();
        List<Decision> decisions = engines.get(domain).tick(clock.nowMs());
        measures.addEngineTime(System.nanoTime() - begin);
        for (Decision decision : decisions) {
            switch (decision) {
                case Decision.Start start -> start(domain, start);
                case Decision.StopTask stop -> stop(stop);
                case Decision.JobUnschedulable unschedulable -> measures.unschedulable();
                case Decision.RequestAllotment request -> measures.allotmentRequests();
            }
        }
    }

    private void start(int domain, Decision.Start start) {
        SimJob job = jobs.get(start.spec().id());
        int index = start.task().index();
        Run run = new Run(job, start, domain, clock.nowMs());
        runs.put(key(start), run);
        measures.started();
        engines.get(domain).started(start.task(), start.attempt(), clock.nowMs());
        if (workload.failingWorkers().contains(start.worker())) {
            scheduleEnd(run, FAILING_WORKER_RUN_MS, EndReason.FAILED);
        } else if (job.arrival.neverSucceeds()) {
            scheduleEnd(run, FAILING_JOB_RUN_MS, EndReason.FAILED);
        } else if (start.spec().kind() instanceof JobKind.Service) {
            measures.recordWait(
                    start.spec(), clock.nowMs() - job.waitingSinceMs.getOrDefault(index, job.arrival.atMs()));
        } else {
            long done = job.progressMs.getOrDefault(index, 0L);
            long restart = done > 0 ? RESTART_MS : 0;
            scheduleEnd(run, Math.max(1, job.arrival.runMs() - done) + restart, EndReason.SUCCEEDED);
        }
    }

    private void stop(Decision.StopTask stop) {
        Run run = runs.get(stop.task() + "/" + stop.attempt());
        if (run == null) {
            return;
        }
        measures.stopped();
        if (stop.mode() == StopMode.CHECKPOINT) {
            scheduleEnd(run, clock.nowMs() - run.startMs() + CHECKPOINT_MS, EndReason.CHECKPOINTED);
        } else {
            scheduleEnd(run, clock.nowMs() - run.startMs() + KILL_MS, EndReason.STOPPED);
        }
    }

    private void scheduleEnd(Run run, long afterMs, EndReason reason) {
        ends.add(new PendingEnd(run.startMs() + afterMs, sequence++, run, reason));
    }

    /** Records the wait so far of tasks that wait at the end of the replay, and of tasks that failed permanently. */
    private void recordCensoredWaits(SimJob job) {
        JobSpec spec = job.arrival.spec();
        if (job.arrival.neverSucceeds()
                || workload.cancelled().contains(spec)
                || spec.kind() instanceof JobKind.Service) {
            return;
        }
        int waiting = engines.get(job.domain)
                .progress(spec.id())
                .map(progress -> progress.waiting() + progress.failed())
                .orElse(0);
        for (int i = 0; i < waiting; i++) {
            measures.recordWait(spec, clock.nowMs() - job.arrival.atMs());
        }
    }

    private static String key(Decision.Start start) {
        return start.task() + "/" + start.attempt();
    }
}
