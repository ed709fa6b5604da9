package org.acaciafold.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerReport;
import org.acaciafold.fleet.Workspace;
import org.acaciafold.fleet.scheduling.Scheduler;
import org.acaciafold.fleet.scheduling.SchedulerLimits;
import org.acaciafold.fleet.scheduling.TermTokens;

/** Simulates one pattern of load on a deployment, from an empty fleet. The same seed gives the same result. */
final class LoadSimulation {
    // The network delay, the order timeout and the store latency are those of the users' deployments.
    private static final long NETWORK_DELAY_MS = 1;

    private static final long ORDER_TIMEOUT_MS = 900;
    private static final long STORE_LATENCY_MS = 10;
    private static final long STEP_MS = 10;
    private static final long TICK_MS = 40;
    private static final long REGISTRY_UPDATE_MS = 500;
    private static final long WALL_CLOCK_START_MS = 1_700_000_000_000L;
    private static final SchedulerLimits LIMITS = SchedulerLimits.of(10_000, 400, 0);

    /** The time from the failure of a leader to the start of the next term; 1.7 s on the users' test bench. */
    private static final long TAKEOVER_MS = 1_700;

    private final Deployment deployment;
    private final LoadPattern pattern;
    private final Random random;
    private final LoadMeasures measures = new LoadMeasures();
    private final SimulatedGangs gangs = new SimulatedGangs();
    private final Map<String, SimulatedWorker> workers = new TreeMap<>();
    private final Map<String, SimulatedJob> jobs = new HashMap<>();
    private final Set<String> started = new HashSet<>();
    private final Set<TaskName> culprits = new HashSet<>();
    private final Map<String, JobState> ended = new HashMap<>();
    private final Map<String, Progress> progress = new HashMap<>();
    private final Map<String, WorkerClaims> claims = new TreeMap<>();
    private final Map<String, Long> adviceHostFreeAtMs = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final FleetConfig config;
    private final List<String> adviceHosts;
    private Scheduler leader;
    private long epoch;
    private long nowMs;
    private long sequence;

    private LoadSimulation(Deployment deployment, LoadPattern pattern, long seed) {
        this.deployment = deployment;
        this.pattern = pattern;
        this.random = new Random(seed);
        List<Workspace> workspaces = new ArrayList<>();
        for (int i = 0; i < deployment.workspaces(); i++) {
            workspaces.add(new Workspace("w" + i, Set.of("key" + i), 1_000, Resources.empty()));
        }
        config = FleetConfig.of(1, List.of(), workspaces);
        adviceHosts = IntStream.range(0, deployment.hosts())
                .mapToObj(host -> "h" + host)
                .toList();
        for (int i = 0; i < deployment.workers(); i++) {
            String domain = "d" + i % Deployment.DOMAINS;
            String rack = domain + "-" + i / Deployment.DOMAINS / deployment.workersPerRack();
            String id = String.format("worker-%03d", i);
            workers.put(id, new SimulatedWorker(id, domain, rack, deployment.capacity(), gangs, measures));
        }
    }

    /** Runs a pattern for the given time, then lets submitted jobs finish for at most the same time again. */
    static LoadMeasures run(Deployment deployment, LoadPattern pattern, long seed, long lengthMs) {
        LoadSimulation simulation = new LoadSimulation(deployment, pattern, seed);
        simulation.startTerm();
        simulation.scheduleFaults();
        while (simulation.nowMs < lengthMs) {
            simulation.submitArrivals();
            simulation.step();
        }
        while (simulation.nowMs < 2 * lengthMs && simulation.ended.size() < simulation.jobs.size()) {
            simulation.step();
        }
        return simulation.measures;
    }

    private void scheduleFaults() {
        switch (pattern) {
            case LoadPattern.SlowWorkers slow -> {
                scheduleAt(
                        slow.window().fromMs(),
                        () -> randomWorkers(slow.share()).forEach(worker -> worker.slowdown = slow.factor()));
                scheduleAt(slow.window().toMs(), () -> workers.values().forEach(worker -> worker.slowdown = 1));
            }
            case LoadPattern.FailingWorkers failing -> {
                scheduleAt(
                        failing.window().fromMs(),
                        () -> randomWorkers(failing.share()).forEach(worker -> worker.failing = true));
                scheduleAt(failing.window().toMs(), () -> workers.values().forEach(worker -> worker.failing = false));
            }
            case LoadPattern.DomainLost lost -> {
                scheduleAt(lost.window().fromMs(), () -> setReachable("d0", false));
                scheduleAt(lost.window().toMs(), () -> setReachable("d0", true));
            }
            case LoadPattern.LeaderLost lost -> {
                scheduleAt(lost.atMs(), () -> leader = null);
                scheduleAt(lost.atMs() + TAKEOVER_MS, this::startTerm);
            }
            case LoadPattern.CrashingTasks crashing -> {
                long span = crashing.window().toMs() - crashing.window().fromMs();
                for (int i = 0; i < crashing.jobs(); i++) {
                    int number = i;
                    scheduleAt(crashing.window().fromMs() + i * span / crashing.jobs(), () -> submitCulprit(number));
                }
            }
            case LoadPattern.Steady ignored -> {}
            case LoadPattern.Burst ignored -> {}
            case LoadPattern.Flood ignored -> {}
            case LoadPattern.SlowStore ignored -> {}
        }
    }

    private List<SimulatedWorker> randomWorkers(double share) {
        List<SimulatedWorker> all = new ArrayList<>(workers.values());
        Collections.shuffle(all, random);
        return all.subList(0, (int) Math.ceil(share * all.size()));
    }

    private void setReachable(String domain, boolean reachable) {
        workers.values().stream()
                .filter(worker -> worker.domain.equals(domain))
                .forEach(worker -> worker.reachable = reachable);
    }

    private void submitArrivals() {
        for (JobClass jobClass : deployment.classes()) {
            double rate = jobClass.jobsPerSecond();
            if (pattern instanceof LoadPattern.Burst burst
                    && burst.jobClass().equals(jobClass.name())
                    && burst.window().contains(nowMs)) {
                rate *= burst.factor();
            }
            maybeSubmit(jobClass, rate, random.nextInt(deployment.workspaces()));
            if (pattern instanceof LoadPattern.Flood flood && flood.window().contains(nowMs)) {
                maybeSubmit(jobClass, flood.factor() * jobClass.jobsPerSecond() / deployment.workspaces(), 0);
            }
        }
    }

    private void maybeSubmit(JobClass jobClass, double rate, int workspace) {
        if (random.nextDouble() >= rate * STEP_MS / 1_000) {
            return;
        }
        String id = String.format("%016x", ++sequence);
        SimulatedJob job = SimulatedJob.draw(jobClass, id, "w" + workspace, nowMs, WALL_CLOCK_START_MS + nowMs, random);
        jobs.put(id, job);
        measures.submitted(jobClass.name(), nowMs, job.value());
        scheduleAt(nowMs + storeLatencyMs(), () -> {
            if (leader != null) {
                leader.accept(job.job());
            }
        });
    }

    /** Submits a job of a class in turn, of which the first task crashes its workers. */
    private void submitCulprit(int number) {
        JobClass jobClass =
                deployment.classes().get(number % deployment.classes().size());
        String id = String.format("culprit-%08x", number);
        SimulatedJob job =
                SimulatedJob.draw(jobClass, id, "w0", nowMs, WALL_CLOCK_START_MS + nowMs, new Random(number));
        culprits.add(new TaskName(id, 0, 0, 0));
        jobs.put(id, job);
        if (leader != null) {
            leader.accept(job.job());
        }
    }

    private long storeLatencyMs() {
        return pattern instanceof LoadPattern.SlowStore slow && slow.window().contains(nowMs)
                ? slow.delayMs()
                : STORE_LATENCY_MS;
    }

    private void step() {
        nowMs += STEP_MS;
        workers.values().forEach(worker -> worker.advance(nowMs));
        while (!events.isEmpty() && events.peek().atMs <= nowMs) {
            events.poll().action.run();
        }
        if (leader != null && nowMs % TICK_MS == 0) {
            leader.advance(nowMs, WALL_CLOCK_START_MS + nowMs);
            if (nowMs % REGISTRY_UPDATE_MS < TICK_MS) {
                leader.updateRegistry(
                        workers.values().stream().map(SimulatedWorker::entry).toList(), true);
            }
            leader.adviceHosts(adviceHosts);
            leader.tick().forEach(this::execute);
        }
    }

    private void startTerm() {
        leader = Scheduler.create(LIMITS, ++epoch, config);
        leader.advance(nowMs, WALL_CLOCK_START_MS + nowMs);
        leader.configure(config, Set.of());
        Map<String, EndedJob> endedJobs = new HashMap<>();
        ended.forEach((id, state) -> endedJobs.put(id, new EndedJob(state, WALL_CLOCK_START_MS + nowMs)));
        List<StoredJob> stored = new ArrayList<>();
        new TreeMap<>(jobs).forEach((id, job) -> {
            if (!ended.containsKey(id)) {
                stored.add(new StoredJob(job.job(), Optional.ofNullable(progress.get(id)), false));
            }
        });
        leader.restore(stored, endedJobs, Set.of(), new ArrayList<>(claims.values()));
    }

    private void execute(Effect effect) {
        Scheduler term = leader;
        switch (effect) {
            case Effect.Start start -> start(term, start);
            case Effect.Stop stop ->
                sendOrder(
                        term,
                        stop.worker(),
                        worker -> {
                            worker.stop(stop, nowMs);
                            return () -> term.stopped(stop.worker(), stop.task(), stop.run(), StopOutcome.STOPPED);
                        },
                        () -> term.stopped(stop.worker(), stop.task(), stop.run(), StopOutcome.UNKNOWN));
            case Effect.RenewLease renewal -> renewLease(term, renewal, nowMs + renewal.waitMs());
            case Effect.Probe probe -> {
                long requestedAtMs = nowMs;
                sendOrder(
                        term,
                        probe.worker(),
                        worker -> {
                            WorkerReport report =
                                    worker.renewLease(0, false, nowMs).orElseThrow();
                            return () -> term.probed(probe.worker(), report, requestedAtMs);
                        },
                        () -> term.probeFailed(probe.worker()));
            }
            case Effect.RaiseToken raise ->
                scheduleForTerm(
                        term, storeLatencyMs(), () -> TermTokens.of(term).raised(raise.token()));
            case Effect.Save save -> scheduleAt(nowMs + storeLatencyMs(), () -> save(term, save));
            case Effect.Retire retire ->
                scheduleForTerm(
                        term, storeLatencyMs(), () -> term.retired(retire.jobs().keySet()));
            case Effect.RequestAdvice request -> requestAdvice(term, request);
            case Effect.Publish publish -> publish.states().forEach(this::published);
        }
    }

    private void start(Scheduler term, Effect.Start start) {
        SimulatedTask work = drawTask(start.task());
        sendOrder(
                term,
                start.worker(),
                worker -> {
                    StartOutcome outcome = worker.start(start, work, nowMs);
                    if (outcome == StartOutcome.STARTED
                            && started.add(start.task().job())) {
                        measures.recordFirstStart(
                                nowMs - jobs.get(start.task().job()).submittedAtMs());
                    }
                    return () -> term.started(start.worker(), start.task(), start.run(), outcome);
                },
                () -> term.started(start.worker(), start.task(), start.run(), StartOutcome.UNKNOWN));
    }

    private SimulatedTask drawTask(TaskName task) {
        SimulatedJob job = jobs.get(task.job());
        StepSpec step = job.job().steps().get(task.step());
        boolean fails = random.nextDouble() < job.jobClass().failureRate() / step.count();
        boolean crashes = culprits.contains(task);
        return new SimulatedTask(
                job.workMs().get(task.step()), fails, step.each().cpuMillis(), step.gang() ? step.count() : 0, crashes);
    }

    private void renewLease(Scheduler term, Effect.RenewLease renewal, long waitsUntilMs) {
        long requestedAtMs = nowMs;
        SimulatedWorker worker = workers.get(renewal.worker());
        scheduleAt(nowMs + NETWORK_DELAY_MS, () -> poll(term, renewal, worker, requestedAtMs, waitsUntilMs));
    }

    /** Answers a lease renewal once a run has ended or the wait time is over. */
    private void poll(
            Scheduler term, Effect.RenewLease renewal, SimulatedWorker worker, long requestedAtMs, long waitsUntilMs) {
        if (!worker.reachable) {
            scheduleForTerm(term, ORDER_TIMEOUT_MS, () -> term.leaseRenewalFailed(worker.id, true));
            return;
        }
        worker.renewLease(renewal.acknowledged(), nowMs < waitsUntilMs, nowMs)
                .ifPresentOrElse(
                        report -> scheduleForTerm(
                                term, NETWORK_DELAY_MS, () -> term.leaseRenewed(worker.id, report, requestedAtMs)),
                        () -> scheduleAt(
                                nowMs + STEP_MS, () -> poll(term, renewal, worker, requestedAtMs, waitsUntilMs)));
    }

    /** Delivers an order to a worker if it is reachable, and schedules its answer or the timeout. */
    private void sendOrder(Scheduler term, String id, Function<SimulatedWorker, Runnable> deliver, Runnable onTimeout) {
        SimulatedWorker worker = workers.get(id);
        scheduleAt(nowMs + NETWORK_DELAY_MS, () -> {
            if (worker.reachable) {
                scheduleForTerm(term, NETWORK_DELAY_MS, deliver.apply(worker));
            } else {
                scheduleForTerm(term, ORDER_TIMEOUT_MS, onTimeout);
            }
        });
    }

    private void save(Scheduler term, Effect.Save save) {
        if (term == leader) {
            progress.putAll(save.progress());
            save.claims().forEach(record -> claims.put(record.id(), record));
            save.removedWorkers().forEach(claims::remove);
            save.obsoleteProgress().forEach(progress::remove);
            term.advance(nowMs, WALL_CLOCK_START_MS + nowMs);
            term.saved(save.batch());
        }
    }

    /** Simulates a call for advice. A host makes one call at a time; the workers allowed for a step never change. */
    private void requestAdvice(Scheduler term, Effect.RequestAdvice request) {
        SimulatedJob job = jobs.get(request.step().job());
        long beginsAtMs = Math.max(nowMs, adviceHostFreeAtMs.getOrDefault(request.host(), 0L));
        long answersAtMs =
                beginsAtMs + job.jobClass().advice().callMs(request.workers().size());
        adviceHostFreeAtMs.put(request.host(), answersAtMs);
        List<Grant> granted = request.workers().stream()
                .filter(worker -> allowed(request, worker, job.jobClass().allowedShare()))
                .map(worker -> new Grant(worker, "ticket"))
                .toList();
        scheduleForTerm(
                term,
                answersAtMs - nowMs,
                () -> term.adviceAnswered(request.host(), request.step(), Optional.of(granted)));
    }

    private static boolean allowed(Effect.RequestAdvice request, String worker, double share) {
        int draw = Math.floorMod((request.step() + worker).hashCode() * 0x9E3779B1, 1_000);
        return draw < share * 1_000;
    }

    private void published(String id, JobState state) {
        if (state.ended() && ended.putIfAbsent(id, state) == null && state == JobState.COMPLETED) {
            SimulatedJob job = jobs.get(id);
            measures.completed(
                    job.jobClass().name(),
                    job.submittedAtMs(),
                    nowMs - job.submittedAtMs(),
                    job.objectiveMs(),
                    job.value());
        }
    }

    private void scheduleForTerm(Scheduler term, long inMs, Runnable action) {
        scheduleAt(nowMs + inMs, () -> {
            if (term == leader) {
                term.advance(nowMs, WALL_CLOCK_START_MS + nowMs);
                action.run();
            }
        });
    }

    private void scheduleAt(long atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event that) {
            int byTime = Long.compare(atMs, that.atMs);
            return byTime != 0 ? byTime : Long.compare(order, that.order);
        }
    }
}
