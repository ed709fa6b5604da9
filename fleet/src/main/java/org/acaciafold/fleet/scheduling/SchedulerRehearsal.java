package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;
import org.acaciafold.fleet.Workspace;

/**
 * Schedules synthetic jobs on synthetic workers in memory, so that the scheduler's code has run before it is needed.
 *
 * <p>The first ticks of a new leader take many times as long as later ones while their code is interpreted. All effects
 * are answered here at once and reach neither workers nor the store.
 *
 * <pre>{@code
 * SchedulerRehearsal rehearsal = SchedulerRehearsal.create();
 * rehearsal.accept();
 * List<Effect> answered = rehearsal.step();
 * }</pre>
 */
public final class SchedulerRehearsal {
    private static final int WORKERS = 12;
    private static final int DOMAINS = 3;
    private static final Resources CAPACITY = Resources.of(16_000, 32_768, 0);
    private static final Resources TASK = Resources.of(2_000, 1_024, 0);
    private static final int TASKS = 4;
    private static final long TASK_MS = 60;

    /** The time that passes between two steps. */
    private static final long STEP_MS = 20;

    /** Every third job has placement advice, and every third one is of gangs. */
    private static final int JOB_KINDS = 3;

    private static final int WITH_ADVICE = 0;
    private static final int OF_GANGS = 1;
    private static final long INCARNATION = 1;
    private static final String SERVICE = "service";
    private static final String HOST = "host";
    private static final AdviceSettings ADVICE = new AdviceSettings(10, 1, 2_500);
    private static final SchedulerLimits LIMITS = SchedulerLimits.of(10_000, 400, 0);

    private final Scheduler scheduler;
    private final Map<String, SyntheticWorker> workers = new TreeMap<>();
    private int jobs;
    private long nowMs;

    private SchedulerRehearsal(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Creates a rehearsal with an empty fleet.
     *
     * @return the rehearsal
     */
    public static SchedulerRehearsal create() {
        Workspace workspace = new Workspace("workspace", Set.of("key"), 1, Resources.empty());
        FleetConfig config = FleetConfig.of(1, List.of(), List.of(workspace));
        SchedulerRehearsal rehearsal = new SchedulerRehearsal(Scheduler.create(LIMITS, 1, config));
        for (int i = 0; i < WORKERS; i++) {
            rehearsal.workers.put("worker-" + i, new SyntheticWorker("worker-" + i, "domain-" + i % DOMAINS));
        }
        rehearsal.scheduler.adviceHosts(List.of(HOST));
        rehearsal.scheduler.updateRegistry(
                rehearsal.workers.values().stream().map(SyntheticWorker::entry).toList(), true);
        return rehearsal;
    }

    /**
     * Submits a job of two steps, in turn with placement advice, of gangs, or of neither.
     *
     * @return the job
     */
    public Job accept() {
        int kind = jobs++ % JOB_KINDS;
        Optional<AdviceSettings> advice = kind == WITH_ADVICE ? Optional.of(ADVICE) : Optional.empty();
        Route route = new Route("queue", "host", "/", SERVICE, kind, 4, 2, 1_000, advice, false);
        StepSpec.Builder step =
                StepSpec.builder().count(TASKS).each(TASK).estimateMs(TASK_MS).gang(kind == OF_GANGS);
        List<StepSpec> steps = List.of(step.build(), step.after(List.of(0)).build());
        Job job = new Job("rehearsed-" + jobs, route, "workspace", "", steps, 0, 0, 0, nowMs);
        scheduler.accept(job);
        return job;
    }

    /**
     * Advances the time, runs one tick, and answers its effects.
     *
     * @return the effects of the tick
     */
    public List<Effect> step() {
        nowMs += STEP_MS;
        scheduler.advance(nowMs, nowMs);
        for (SyntheticWorker worker : workers.values()) {
            worker.endRuns(nowMs);
            scheduler.leaseRenewed(worker.id, worker.report(nowMs), nowMs);
        }
        List<Effect> effects = scheduler.tick();
        effects.forEach(this::answer);
        return effects;
    }

    /**
     * Returns how many of the submitted jobs have not ended.
     *
     * @return the number
     */
    public int openJobs() {
        return scheduler.summary().activeJobs();
    }

    private void answer(Effect effect) {
        switch (effect) {
            case Effect.Start start -> {
                workers.get(start.worker()).start(start, nowMs + TASK_MS);
                scheduler.started(start.worker(), start.task(), start.run(), StartOutcome.STARTED);
            }
            case Effect.Stop stop -> {
                workers.get(stop.worker()).end(stop.task(), EndKind.STOPPED);
                scheduler.stopped(stop.worker(), stop.task(), stop.run(), StopOutcome.STOPPED);
            }
            case Effect.RenewLease renewal -> workers.get(renewal.worker()).acknowledge(renewal.acknowledged());
            case Effect.Probe probe ->
                scheduler.probed(probe.worker(), workers.get(probe.worker()).report(nowMs), nowMs);
            case Effect.RaiseToken raise -> TermTokens.of(scheduler).raised(raise.token());
            case Effect.Save save -> scheduler.saved(save.batch());
            case Effect.Retire retire -> {
                scheduler.retired(retire.jobs().keySet());
                scheduler.removed(retire.expired().keySet(), retire.cancellations());
            }
            case Effect.RequestAdvice request -> {
                List<Grant> grants = request.workers().stream()
                        .map(worker -> new Grant(worker, "ticket"))
                        .toList();
                scheduler.adviceAnswered(request.host(), request.step(), Optional.of(grants));
            }
            case Effect.Publish ignored -> {
                // nobody asks for the states of these jobs
            }
        }
    }

    /** A worker on which each run takes the same time. */
    private static final class SyntheticWorker {
        private final String id;
        private final String domain;
        private final Map<TaskName, Effect.Start> runs = new HashMap<>();
        private final Map<TaskName, Long> endsAtMs = new HashMap<>();
        private final List<RunEnd> ends = new ArrayList<>();
        private long lastEnd;

        private SyntheticWorker(String id, String domain) {
            this.id = id;
            this.domain = domain;
        }

        private WorkerEntry entry() {
            return new WorkerEntry(id, id, domain, SERVICE, CAPACITY, Set.of(domain), domain, false, INCARNATION);
        }

        private void start(Effect.Start start, long endAtMs) {
            runs.put(start.task(), start);
            endsAtMs.put(start.task(), endAtMs);
        }

        private void end(TaskName task, EndKind kind) {
            Effect.Start ended = runs.remove(task);
            endsAtMs.remove(task);
            if (ended != null) {
                ends.add(new RunEnd(++lastEnd, task, ended.run(), kind, ""));
            }
        }

        private void endRuns(long nowMs) {
            for (TaskName task : List.copyOf(runs.keySet())) {
                if (endsAtMs.get(task) <= nowMs) {
                    end(task, EndKind.DONE);
                }
            }
        }

        private void acknowledge(long number) {
            ends.removeIf(end -> end.number() <= number);
        }

        private WorkerReport report(long nowMs) {
            List<ReportedRun> running = runs.values().stream()
                    .map(start -> new ReportedRun(start.task(), start.run(), "", 0))
                    .toList();
            return new WorkerReport(nowMs, INCARNATION, running, ends);
        }
    }
}
