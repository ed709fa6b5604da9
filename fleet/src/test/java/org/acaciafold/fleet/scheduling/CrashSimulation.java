package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;

/** Successive leaders over workers that some tasks crash, on one fake clock and without any chance. */
final class CrashSimulation {
    /** How long a task runs before it crashes its worker. */
    static final long CRASHES_AFTER_MS = 300;

    /** How long a worker is away after a crash. */
    static final long AWAY_MS = 3_000;

    /** When the leader has noticed that a worker is back at the latest. */
    static final long NOTICED_MS = AWAY_MS + 1_500;

    private static final long STEP_MS = 10;
    private static final long REGISTRY_MS = 500;
    private static final long WALL_MS = 1_700_000_000_000L;

    final Map<String, SimulatedWorker> workers = new TreeMap<>();
    final Map<TaskName, Integer> starts = new HashMap<>();
    final Map<TaskName, Integer> crashes = new HashMap<>();
    final Map<String, JobState> published = new HashMap<>();
    final Map<String, Progress> progress = new HashMap<>();
    final Set<TaskName> culprits = new HashSet<>();
    private final Map<String, Job> jobs = new TreeMap<>();
    private final Map<String, WorkerClaims> claims = new TreeMap<>();
    private final List<Runnable> answers = new ArrayList<>();
    private Scheduler leader;
    private long epoch;
    long nowMs = 100_000;
    /** True while saves are applied, but their replies are lost. */
    boolean losesSaveReplies;

    static CrashSimulation of(int workers, long cpuMillis) {
        CrashSimulation simulation = new CrashSimulation();
        for (int i = 0; i < workers; i++) {
            simulation.workers.put("w" + i, new SimulatedWorker("w" + i, cpuMillis, simulation.nowMs - 1_000));
        }
        simulation.changeLeader();
        simulation.run(100);
        return simulation;
    }

    void submit(String id, int maxAttempts, StepSpec... steps) {
        Job job = new Job(
                id,
                SchedulerFixture.route(1, maxAttempts, Optional.empty()),
                "north",
                "spec",
                List.of(steps),
                0,
                0,
                0,
                WALL_MS + nowMs);
        jobs.put(id, job);
        leader.accept(job);
    }

    /** Submits a job of one task that ends well after a second, unless it is among the culprits. */
    TaskName submit(String id) {
        submit(id, 4, SchedulerFixture.step(1, 500).build());
        return new TaskName(id, 0, 0, 0);
    }

    TaskName submitCulprit(String id) {
        TaskName task = submit(id);
        culprits.add(task);
        return task;
    }

    void run(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            step();
        }
    }

    /** Runs until a worker has crashed under a task once more; the leader has not noticed it yet. */
    void runUntilCrash(TaskName task) {
        int before = crashes.getOrDefault(task, 0);
        for (int i = 0; crashes.getOrDefault(task, 0) == before; i++) {
            if (i > 10_000) {
                throw new AssertionError("no crash under " + task);
            }
            step();
        }
    }

    /** Ends the present term; the next leader reads what was saved. */
    void changeLeader() {
        epoch++;
        answers.clear();
        leader = Scheduler.create(SchedulerFixture.LIMITS, epoch, SchedulerFixture.config(Resources.empty()));
        leader.advance(nowMs, WALL_MS + nowMs);
        List<StoredJob> stored = new ArrayList<>();
        Map<String, EndedJob> ended = new HashMap<>();
        jobs.forEach((id, job) -> {
            Optional<Progress> known = Optional.ofNullable(progress.get(id));
            if (known.isPresent() && known.get().state().ended()) {
                ended.put(id, new EndedJob(known.get().state(), WALL_MS + nowMs));
            } else {
                stored.add(new StoredJob(job, known, false));
            }
        });
        leader.restore(stored, ended, Set.of(), new ArrayList<>(claims.values()));
        published.putAll(leader.states());
        readRegistry();
    }

    Set<TaskName> running() {
        Set<TaskName> running = new HashSet<>();
        workers.values().forEach(worker -> running.addAll(worker.runs.keySet()));
        return running;
    }

    /** Returns the worker that runs a task. */
    SimulatedWorker workerOf(TaskName task) {
        return workers.values().stream()
                .filter(worker -> worker.runs.containsKey(task))
                .findFirst()
                .orElseThrow();
    }

    void end(TaskName task, EndKind kind) {
        workerOf(task).end(task, kind);
    }

    void crash(SimulatedWorker worker) {
        worker.runs.keySet().forEach(task -> crashes.merge(task, 1, Integer::sum));
        worker.runs.clear();
        worker.ends.clear();
        worker.up = false;
        worker.backAtMs = nowMs + AWAY_MS;
    }

    private void step() {
        nowMs += STEP_MS;
        workers.values().forEach(this::advance);
        leader.advance(nowMs, WALL_MS + nowMs);
        if (nowMs % REGISTRY_MS == 0) {
            readRegistry();
        }
        List<Runnable> due = List.copyOf(answers);
        answers.clear();
        due.forEach(Runnable::run);
        leader.tick().forEach(this::execute);
    }

    private void advance(SimulatedWorker worker) {
        if (!worker.up && nowMs >= worker.backAtMs) {
            worker.up = true;
            worker.incarnation = nowMs;
            worker.draining = false;
            worker.lastEnd = 0;
        }
        for (Map.Entry<TaskName, Run> entry : Map.copyOf(worker.runs).entrySet()) {
            if (nowMs >= worker.leaseUntilMs) {
                worker.end(entry.getKey(), EndKind.LAPSED);
            } else if (nowMs >= entry.getValue().endsAtMs && !culprits.contains(entry.getKey())) {
                worker.end(entry.getKey(), EndKind.DONE);
            }
        }
        boolean crashes = worker.runs.entrySet().stream()
                .anyMatch(entry ->
                        culprits.contains(entry.getKey()) && nowMs >= entry.getValue().startedAtMs + CRASHES_AFTER_MS);
        if (crashes) {
            crash(worker);
        }
    }

    private void execute(Effect effect) {
        switch (effect) {
            case Effect.Start start -> start(start);
            case Effect.Stop stop -> stop(stop);
            case Effect.RenewLease renewal -> renew(renewal);
            case Effect.Probe probe -> probe(probe);
            case Effect.RaiseToken raise ->
                answers.add(() -> TermTokens.of(leader).raised(raise.token()));
            case Effect.Save save -> save(save);
            case Effect.Publish publish -> published.putAll(publish.states());
            case Effect.Retire ignored -> {}
            case Effect.RequestAdvice ignored -> {}
        }
    }

    private void readRegistry() {
        leader.updateRegistry(
                workers.values().stream().map(SimulatedWorker::entry).toList(), true);
    }

    private void start(Effect.Start start) {
        SimulatedWorker worker = workers.get(start.worker());
        if (worker.answers()) {
            StepSpec step =
                    jobs.get(start.task().job()).steps().get(start.task().step());
            long endsAtMs = step.longRunning() ? Long.MAX_VALUE : nowMs + step.estimateMs();
            worker.runs.put(start.task(), new Run(start.run(), nowMs, endsAtMs));
            worker.leaseUntilMs = Math.max(worker.leaseUntilMs, start.untilMs());
            starts.merge(start.task(), 1, Integer::sum);
        }
        StartOutcome outcome = worker.answers() ? StartOutcome.STARTED : StartOutcome.UNKNOWN;
        answers.add(() -> leader.started(start.worker(), start.task(), start.run(), outcome));
    }

    private void stop(Effect.Stop stop) {
        SimulatedWorker worker = workers.get(stop.worker());
        if (worker.answers() && worker.runs.containsKey(stop.task())) {
            worker.end(stop.task(), EndKind.STOPPED);
        }
        StopOutcome outcome = worker.answers() ? StopOutcome.STOPPED : StopOutcome.UNKNOWN;
        answers.add(() -> leader.stopped(stop.worker(), stop.task(), stop.run(), outcome));
    }

    private void renew(Effect.RenewLease renewal) {
        SimulatedWorker worker = workers.get(renewal.worker());
        long requestedAtMs = nowMs;
        if (worker.answers()) {
            WorkerReport report = worker.report(renewal.untilMs(), renewal.acknowledged(), nowMs);
            answers.add(() -> leader.leaseRenewed(renewal.worker(), report, requestedAtMs));
        } else {
            answers.add(() -> leader.leaseRenewalFailed(renewal.worker(), true));
        }
    }

    private void probe(Effect.Probe probe) {
        SimulatedWorker worker = workers.get(probe.worker());
        long requestedAtMs = nowMs;
        if (worker.answers()) {
            WorkerReport report = worker.report(OptionalLong.empty(), 0, nowMs);
            answers.add(() -> leader.probed(probe.worker(), report, requestedAtMs));
        } else {
            answers.add(() -> leader.probeFailed(probe.worker()));
        }
    }

    private void save(Effect.Save save) {
        progress.putAll(save.progress());
        save.claims().forEach(record -> claims.put(record.id(), record));
        save.removedWorkers().forEach(claims::remove);
        save.obsoleteProgress().forEach(progress::remove);
        if (!losesSaveReplies) {
            answers.add(() -> leader.saved(save.batch()));
        }
    }

    private record Run(int number, long startedAtMs, long endsAtMs) {}

    /** A worker of the simulation. */
    static final class SimulatedWorker {
        private final String id;
        private final long cpuMillis;
        final Map<TaskName, Run> runs = new HashMap<>();
        private final List<RunEnd> ends = new ArrayList<>();
        private long incarnation;
        private long backAtMs;
        private long lastEnd;
        private long leaseUntilMs;
        private boolean up = true;
        boolean reachable = true;
        boolean draining;

        private SimulatedWorker(String id, long cpuMillis, long incarnation) {
            this.id = id;
            this.cpuMillis = cpuMillis;
            this.incarnation = incarnation;
        }

        private boolean answers() {
            return up && reachable;
        }

        private WorkerEntry entry() {
            Resources capacity = Resources.of(cpuMillis, 100_000, 0);
            Set<String> labels = Set.of("a", "r1");
            return new WorkerEntry(
                    id, id + ":1", "domain-a", "catalogue", capacity, labels, "r1", draining, incarnation);
        }

        private void end(TaskName task, EndKind kind) {
            Run run = runs.remove(task);
            ends.add(new RunEnd(++lastEnd, task, run.number, kind, ""));
        }

        private WorkerReport report(OptionalLong untilMs, long acknowledged, long nowMs) {
            untilMs.ifPresent(until -> leaseUntilMs = Math.max(leaseUntilMs, until));
            ends.removeIf(end -> end.number() <= acknowledged);
            List<ReportedRun> reported = new ArrayList<>();
            runs.forEach((task, run) -> reported.add(new ReportedRun(task, run.number, "", 0)));
            return new WorkerReport(nowMs, incarnation, reported, ends);
        }
    }
}
