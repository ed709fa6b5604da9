package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;
import org.acaciafold.fleet.Workspace;

/** A scheduler whose clock, store and workers are controlled by the test, for tests of single decisions. */
final class SchedulerFixture {
    static final SchedulerLimits LIMITS = SchedulerLimits.of(10_000, 400, 0);
    static final long INCARNATION = 1_000_000;

    final Scheduler scheduler;
    final List<Effect> effects = new ArrayList<>();
    final Map<String, JobState> published = new LinkedHashMap<>();
    final Map<String, Progress> saved = new LinkedHashMap<>();
    boolean confirmSaves = true;
    long nowMs = 50_000;
    long wallMs = 1_700_000_000_000L;

    SchedulerFixture(long epoch) {
        this(epoch, LIMITS);
    }

    SchedulerFixture(long epoch, SchedulerLimits limits) {
        scheduler = Scheduler.create(limits, epoch, config(Resources.empty()));
        scheduler.advance(nowMs, wallMs);
    }

    static FleetConfig config(Resources limit) {
        Workspace workspace = new Workspace("north", Set.of("key"), 10, limit);
        return FleetConfig.of(1, List.of(), List.of(workspace));
    }

    static Route route(int priority, int maxAttempts, Optional<AdviceSettings> advice) {
        return new Route(
                "r" + priority, "h.example", "/r/", "catalogue", priority, maxAttempts, 2, 1_000, advice, false);
    }

    static StepSpec.Builder step(int count, long cpuMillis) {
        return StepSpec.builder()
                .count(count)
                .each(Resources.of(cpuMillis, 1_000, 0))
                .estimateMs(1_000);
    }

    Job job(String id, Route route, StepSpec... steps) {
        return new Job(id, route, "north", "spec of " + id, List.of(steps), 0, 0, 0, wallMs);
    }

    Job job(String id, StepSpec... steps) {
        return job(id, route(1, 4, Optional.empty()), steps);
    }

    static WorkerEntry worker(String id, long cpuMillis) {
        return new WorkerEntry(
                id,
                id + ":1",
                "domain-a",
                "catalogue",
                Resources.of(cpuMillis, 100_000, 0),
                Set.of("a", "r1"),
                "r1",
                false,
                INCARNATION);
    }

    /** Returns an entry of the same worker with another address, state or incarnation. */
    static WorkerEntry changed(WorkerEntry entry, String address, boolean draining, long incarnation) {
        return new WorkerEntry(
                entry.id(),
                address,
                entry.domain(),
                entry.service(),
                entry.capacity(),
                entry.labels(),
                entry.rack(),
                draining,
                incarnation);
    }

    /** Registers workers, answers one renewal of each with an empty report, and records them. */
    SchedulerFixture withWorkers(WorkerEntry... workers) {
        scheduler.updateRegistry(List.of(workers), true);
        tick();
        for (WorkerEntry worker : workers) {
            leaseRenewed(worker.id(), List.of(), List.of());
        }
        tick();
        tick();
        return this;
    }

    void advance(long ms) {
        nowMs += ms;
        wallMs += ms;
        scheduler.advance(nowMs, wallMs);
    }

    List<Effect> tick() {
        List<Effect> emitted = scheduler.tick();
        effects.addAll(emitted);
        for (Effect effect : emitted) {
            if (effect instanceof Effect.Publish publish) {
                published.putAll(publish.states());
            }
            if (effect instanceof Effect.RaiseToken raise && confirmSaves) {
                TermTokens.of(scheduler).raised(raise.token());
            }
            if (effect instanceof Effect.Save save && confirmSaves) {
                saved.putAll(save.progress());
                scheduler.saved(save.batch());
            }
        }
        return emitted;
    }

    /** Returns the start orders of two ticks: the first claims runs, the second sends their start orders. */
    List<Effect.Start> starts() {
        List<Effect> both = new ArrayList<>(tick());
        both.addAll(tick());
        return both.stream()
                .filter(Effect.Start.class::isInstance)
                .map(Effect.Start.class::cast)
                .toList();
    }

    List<Effect.Start> confirmedStarts() {
        List<Effect.Start> starts = starts();
        starts.forEach(start -> answerStart(start, StartOutcome.STARTED));
        return starts;
    }

    void answerStart(Effect.Start start, StartOutcome outcome) {
        scheduler.started(start.worker(), start.task(), start.run(), outcome);
    }

    void leaseRenewed(String worker, List<ReportedRun> running, List<RunEnd> ends) {
        leaseRenewed(worker, INCARNATION, running, ends);
    }

    void leaseRenewed(String worker, long incarnation, List<ReportedRun> running, List<RunEnd> ends) {
        scheduler.leaseRenewed(worker, new WorkerReport(nowMs - 10_000, incarnation, running, ends), nowMs);
    }

    /** Lets a restarted worker answer a call that carries the token which its restart has raised. */
    void answerRaisedToken(String worker, long incarnation) {
        tick();
        tick();
        leaseRenewed(worker, incarnation, List.of(), List.of());
    }

    WorkerReport report(List<ReportedRun> running, List<RunEnd> ends) {
        return new WorkerReport(nowMs - 10_000, INCARNATION, running, ends);
    }

    static ReportedRun running(Effect.Start start) {
        return new ReportedRun(start.task(), start.run(), "", 10);
    }

    static RunEnd end(long number, TaskName task, int run, EndKind kind) {
        return new RunEnd(number, task, run, kind, "");
    }

    <T extends Effect> void forEach(Class<T> type, List<Effect> from, Consumer<T> action) {
        from.stream().filter(type::isInstance).map(type::cast).forEach(action);
    }
}
