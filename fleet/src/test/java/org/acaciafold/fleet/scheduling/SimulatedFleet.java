package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;

/** Workers, a registry and placement advice that follow the contract, for tests of what starts within seconds. */
final class SimulatedFleet {
    private static final long TICK_MS = 20;
    private static final long REGISTRY_PERIOD_MS = 500;

    /** How long after an outage of the store a read of the registry may lack entries of running workers. */
    private static final long REREGISTRATION_MS = 2_500;

    /** How long the leader waits for the answer to an order. */
    private static final long ORDER_TIMEOUT_MS = 900;

    final SchedulerFixture fixture;
    final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
    final List<Started> started = new ArrayList<>();
    /** The records of the workers in the store. */
    final Map<String, WorkerClaims> claims = new LinkedHashMap<>();

    /** The fencing tokens whose record was requested. */
    final List<Long> raisedTokens = new ArrayList<>();

    final List<Effect.RequestAdvice> adviceCalls = new ArrayList<>();
    /** Whether advice allows a step on a worker; tickets are valid for one incarnation of the worker. */
    BiPredicate<StepName, String> allows = (step, worker) -> true;
    /** Whether workers require a ticket for a task. */
    BiPredicate<TaskName, String> needsTicket = (task, worker) -> false;
    /** How long a task works; those that are not mentioned here do not end. */
    ToLongFunction<TaskName> durationMs = task -> Long.MAX_VALUE / 2;
    /** How a task ends by itself. */
    EndKind endKind = EndKind.DONE;
    /** Workers whose entries are missing; advice leaves them out. */
    final Set<String> lapsed = new HashSet<>();
    /** True while the store is away: the registry cannot be read. */
    boolean registryAway;
    /** Hosts that no message reaches. */
    Set<String> silentHosts = Set.of();
    /** The usual duration of an advice call; 0 for the one that the scheduler expects. */
    long adviceMs;
    /** The time that an advice call takes beyond the usual one. */
    long adviceExtraMs;
    /** How long the store takes to confirm a batch; 0 for at once. */
    long saveMs;
    /** The number of orders to start that are lost on their way. */
    int lostStarts;
    /** The number of renewals that get no answer and are executed later, by whichever incarnation is there then. */
    int lateRenewals;
    /** How much later these are executed. */
    long lateMs;
    /** The number of orders to start that workers refuse as unhealthy. */
    int refusedStarts;
    /** True while nobody may command: the store is away, or there is no leader. */
    boolean withoutAuthority;
    /** When the authority of the former leader ended, on the store's clock, which shows the time of this host; 0 for unknown. */
    long predecessorEndsMs;
    /** Starts of tasks of which another run was at work. */
    int startedTwice;

    private final List<Reply> replies = new ArrayList<>();
    private long registryReadAtMs;
    private long registryCompleteAtMs;

    SimulatedFleet() {
        this(1);
    }

    SimulatedFleet(long epoch) {
        this(new SchedulerFixture(epoch));
    }

    SimulatedFleet(SchedulerFixture fixture) {
        this.fixture = fixture;
        fixture.scheduler.adviceHosts(List.of("h1", "h2", "h3", "h4"));
    }

    SimulatedFleet with(WorkerEntry... entries) {
        for (WorkerEntry entry : entries) {
            workers.put(entry.id(), new SimulatedWorker(entry, fixture.nowMs));
        }
        return this;
    }

    /** Ends a worker and removes its entry. */
    void leave(String id) {
        workers.remove(id);
    }

    /** Lets the store be away for some time, in which the entries of all workers lapse; they return some time later. */
    void loseStore(long forMs, long returnAfterMs) {
        registryAway = true;
        lapsed.addAll(workers.keySet());
        run(forMs);
        registryAway = false;
        registryCompleteAtMs = fixture.nowMs + REREGISTRATION_MS;
        run(returnAfterMs);
        lapsed.clear();
    }

    /** Lets the fleet run for some time. */
    SimulatedFleet run(long ms) {
        long endMs = fixture.nowMs + ms;
        while (fixture.nowMs < endMs) {
            fixture.advance(TICK_MS);
            workers.values().forEach(worker -> worker.advance(fixture.nowMs));
            if (!registryAway && fixture.nowMs - registryReadAtMs >= REGISTRY_PERIOD_MS) {
                readRegistry();
            }
            deliverReplies();
            fixture.scheduler.storeClock(new StoreClock(fixture.nowMs, fixture.nowMs, predecessorEndsMs));
            fixture.confirmSaves = saveMs == 0;
            if (!withoutAuthority) {
                fixture.tick().forEach(this::execute);
            }
        }
        return this;
    }

    /** Returns the starts of a job's tasks. */
    List<Started> startsOf(String job) {
        return started.stream().filter(one -> one.task().job().equals(job)).toList();
    }

    /** Returns how many tasks of a job are on workers that run. */
    long running(String job) {
        return workers.values().stream()
                .flatMap(worker -> worker.runs.keySet().stream())
                .filter(task -> task.job().equals(job))
                .count();
    }

    private void readRegistry() {
        registryReadAtMs = fixture.nowMs;
        List<WorkerEntry> entries = workers.values().stream()
                .map(worker -> worker.entry)
                .filter(entry -> !lapsed.contains(entry.id()))
                .toList();
        fixture.scheduler.updateRegistry(entries, fixture.nowMs >= registryCompleteAtMs);
    }

    private void deliverReplies() {
        List<Reply> due = replies.stream()
                .filter(reply -> reply.dueAtMs <= fixture.nowMs || reply.early.getAsBoolean())
                .sorted(Comparator.comparingLong(Reply::dueAtMs))
                .toList();
        replies.removeAll(due);
        due.forEach(reply -> reply.action.run());
    }

    private void execute(Effect effect) {
        switch (effect) {
            case Effect.Start start -> start(start);
            case Effect.Stop stop -> stop(stop);
            case Effect.RenewLease renewal -> renew(renewal);
            case Effect.Probe probe -> probe(probe);
            case Effect.RequestAdvice request -> advise(request);
            case Effect.RaiseToken raise -> raise(raise);
            case Effect.Save save -> save(save);
            case Effect.Retire ignored -> {}
            case Effect.Publish ignored -> {}
        }
    }

    /** Returns whether another worker than the intended one answers at an address. */
    private boolean misdirected(String address, String id) {
        return workers.values().stream()
                .anyMatch(worker -> worker.reachable
                        && worker.entry.address().equals(address)
                        && !worker.entry.id().equals(id));
    }

    private Optional<SimulatedWorker> at(String address, String id) {
        return Optional.ofNullable(workers.get(id))
                .filter(worker -> worker.entry.address().equals(address) && worker.reachable);
    }

    private void save(Effect.Save save) {
        save.claims().forEach(record -> claims.put(record.id(), record));
        save.removedWorkers().forEach(claims::remove);
        if (saveMs > 0) {
            reply(saveMs, () -> fixture.scheduler.saved(save.batch()));
        }
    }

    private void raise(Effect.RaiseToken raise) {
        raisedTokens.add(raise.token());
        if (saveMs > 0) {
            reply(saveMs, () -> TermTokens.of(fixture.scheduler).raised(raise.token()));
        }
    }

    private boolean accepts(SimulatedWorker worker) {
        return worker.accepts(TermTokens.of(fixture.scheduler).token(worker.entry.id()));
    }

    private void start(Effect.Start start) {
        Optional<SimulatedWorker> worker = at(start.address(), start.worker());
        if (refusedStarts > 0) {
            refusedStarts--;
            reply(0, () -> fixture.answerStart(start, StartOutcome.REFUSED));
            return;
        }
        boolean lost = lostStarts > 0;
        lostStarts -= lost ? 1 : 0;
        if (worker.isEmpty() || lost) {
            reply(ORDER_TIMEOUT_MS, () -> fixture.answerStart(start, StartOutcome.UNKNOWN));
            return;
        }
        boolean ticketMissing = needsTicket.test(start.task(), start.worker())
                && !start.ticket().equals(worker.get().ticket());
        StartOutcome outcome = !accepts(worker.get())
                ? StartOutcome.FENCED
                : ticketMissing ? StartOutcome.NO_TICKET : worker.get().start(start, durationMs, endKind);
        if (outcome == StartOutcome.STARTED) {
            startedTwice += atWorkElsewhere(start) ? 1 : 0;
            started.add(new Started(start.task(), start.worker(), fixture.nowMs));
        }
        long requestedAtMs = fixture.nowMs;
        long clockMs = worker.get().clockMs();
        reply(0, () -> {
            fixture.scheduler.clockReported(start.worker(), clockMs, requestedAtMs);
            fixture.answerStart(start, outcome);
        });
    }

    private boolean atWorkElsewhere(Effect.Start start) {
        return workers.values().stream()
                .anyMatch(worker -> !worker.entry.id().equals(start.worker()) && worker.runs.containsKey(start.task()));
    }

    private void stop(Effect.Stop stop) {
        Optional<SimulatedWorker> worker = at(stop.address(), stop.worker());
        worker.filter(this::accepts).ifPresent(one -> one.stop(stop));
        StopOutcome outcome = worker.isPresent() ? StopOutcome.STOPPED : StopOutcome.UNKNOWN;
        reply(
                worker.isPresent() ? 0 : ORDER_TIMEOUT_MS,
                () -> fixture.scheduler.stopped(stop.worker(), stop.task(), stop.run(), outcome));
    }

    private void renew(Effect.RenewLease renewal) {
        long requestedAtMs = fixture.nowMs;
        Optional<SimulatedWorker> worker = at(renewal.address(), renewal.worker());
        if (misdirected(renewal.address(), renewal.worker())) {
            reply(0, () -> {
                fixture.scheduler.leaseRenewalFailed(renewal.worker(), true);
                fixture.scheduler.incarnationEnded(renewal.worker(), requestedAtMs);
            });
            return;
        }
        if (worker.isEmpty()) {
            reply(
                    renewal.waitMs() + ORDER_TIMEOUT_MS,
                    () -> fixture.scheduler.leaseRenewalFailed(renewal.worker(), true));
            return;
        }
        if (lateRenewals > 0) {
            lateRenewals--;
            long token = TermTokens.of(fixture.scheduler).token(renewal.worker());
            reply(
                    lateMs,
                    () -> at(renewal.address(), renewal.worker())
                            .filter(late -> late.accepts(token))
                            .ifPresent(late -> late.renew(renewal)));
            reply(
                    renewal.waitMs() + ORDER_TIMEOUT_MS,
                    () -> fixture.scheduler.leaseRenewalFailed(renewal.worker(), true));
            return;
        }
        SimulatedWorker answering = worker.get();
        if (!accepts(answering)) {
            reply(0, () -> fixture.scheduler.leaseRenewalFailed(renewal.worker(), false));
            return;
        }
        answering.renew(renewal);
        replies.add(new Reply(
                fixture.nowMs + renewal.waitMs(), () -> answering.reachable && answering.hasEnds(), () -> {
                    if (answering.reachable && workers.get(renewal.worker()) == answering) {
                        fixture.scheduler.leaseRenewed(
                                renewal.worker(), answering.report(fixture.nowMs), requestedAtMs);
                    } else {
                        long timeoutMs = workers.containsValue(answering) ? ORDER_TIMEOUT_MS : 0;
                        reply(timeoutMs, () -> fixture.scheduler.leaseRenewalFailed(renewal.worker(), true));
                    }
                }));
    }

    private void probe(Effect.Probe probe) {
        long requestedAtMs = fixture.nowMs;
        Optional<SimulatedWorker> worker = at(probe.address(), probe.worker());
        if (misdirected(probe.address(), probe.worker())) {
            reply(0, () -> {
                fixture.scheduler.probeFailed(probe.worker());
                fixture.scheduler.incarnationEnded(probe.worker(), requestedAtMs);
            });
            return;
        }
        if (worker.isEmpty()) {
            reply(ORDER_TIMEOUT_MS, () -> fixture.scheduler.probeFailed(probe.worker()));
            return;
        }
        if (!accepts(worker.get())) {
            reply(0, () -> fixture.scheduler.probeFailed(probe.worker()));
            return;
        }
        WorkerReport report = worker.get().report(fixture.nowMs);
        reply(0, () -> fixture.scheduler.probed(probe.worker(), report, requestedAtMs));
    }

    private void advise(Effect.RequestAdvice request) {
        adviceCalls.add(request);
        if (silentHosts.contains(request.host())) {
            return;
        }
        reply((adviceMs > 0 ? adviceMs : request.expectedMs()) + adviceExtraMs, () -> {
            List<Grant> grants = request.workers().stream()
                    .filter(workers::containsKey)
                    .filter(worker -> !lapsed.contains(worker) && allows.test(request.step(), worker))
                    .map(worker -> new Grant(worker, workers.get(worker).ticket()))
                    .toList();
            fixture.scheduler.adviceAnswered(request.host(), request.step(), Optional.of(grants));
        });
    }

    private void reply(long afterMs, Runnable action) {
        replies.add(new Reply(fixture.nowMs + afterMs, () -> false, action));
    }

    /**
     * A start that a worker has executed.
     *
     * @param task the task
     * @param worker the worker
     * @param atMs when it started
     */
    record Started(TaskName task, String worker, long atMs) {}

    private record Reply(long dueAtMs, BooleanSupplier early, Runnable action) {}
}
