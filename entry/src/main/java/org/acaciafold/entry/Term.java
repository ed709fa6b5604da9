package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.FleetSummary;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.scheduling.Scheduler;
import org.acaciafold.fleet.scheduling.SchedulerLimits;
import org.acaciafold.fleet.scheduling.TermTokens;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.WorkerAgentClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the scheduler during one term of a leader and executes the effects that it returns. */
final class Term {
    private static final Logger LOG = LoggerFactory.getLogger(Term.class);
    private static final long LOAD_RETRY_MS = 150;
    /** Added to the latency expected of a queue's advice, for the network and for calls that wait before it. */
    private static final long ADVICE_GRACE_MS = 800;

    private final HostContext host;
    private final LeaseKeeper lease;
    private final SchedulerLimits limits;
    private final HostTable hosts;
    private final Consumer<Map<String, JobState>> publish;
    private final JobWatch jobWatch;
    private final WorkerWatch workerWatch;
    private final BatchWriter batches;
    private final JobLatencyRecorder latencies;
    private final TickLoadReporter loadReporter;
    private final Predecessor predecessor;
    private long earliestStoreMs;
    private final TickThrottle throttle = new TickThrottle();
    private final StateBroadcaster broadcaster;
    private final FailFastRunner failFast;
    private Scheduler scheduler;
    private TermTokens tokens;
    private boolean ended;
    private boolean tickScheduled;
    private long heartbeatSequence;

    Term(
            HostContext host,
            LeaseKeeper lease,
            Predecessor predecessor,
            SchedulerLimits limits,
            HostTable hosts,
            Consumer<Map<String, JobState>> publish,
            Consumer<String> onFailure) {
        this.host = host;
        this.failFast = new FailFastRunner(onFailure);
        this.lease = lease;
        this.predecessor = predecessor;
        this.limits = limits;
        this.hosts = hosts;
        this.publish = publish;
        this.jobWatch = new JobWatch(
                host.loop(),
                host.store()::changes,
                host.records(),
                () -> host.termStore().load(host.loop().wallMs()),
                jobs -> accept("", jobs),
                this::cancel);
        this.workerWatch =
                new WorkerWatch(host, (entries, complete) -> apply(() -> scheduler.updateRegistry(entries, complete)));
        this.broadcaster = new StateBroadcaster(
                host.name(), host.loop(), host.bus()::sendAll, hosts, epoch(), () -> scheduler.states());
        this.batches = new BatchWriter(
                lease,
                host.termStore()::hideFromEarlierReleases,
                this::refused,
                batch -> applyLater(() -> scheduler.saved(batch)));
        this.latencies = new JobLatencyRecorder(host.metrics());
        this.loadReporter = new TickLoadReporter(lease, host.metrics());
    }

    /** Loads the records, with retries until that succeeds, and starts scheduling. */
    void begin() {
        if (ended) {
            return;
        }
        if (host.config().config().isEmpty()) {
            host.loop().after(LOAD_RETRY_MS, this::begin);
            return;
        }
        long requestedAtMs = host.loop().nowMs();
        host.termStore()
                .load(host.loop().wallMs())
                .subscribe(
                        loaded -> host.loop().execute(() -> failFast.run(() -> restore(loaded, requestedAtMs))),
                        error -> {
                            LOG.warn("records cannot be read epoch={} reason={}", epoch(), error.getMessage());
                            host.loop().after(LOAD_RETRY_MS, this::begin);
                        });
    }

    void end() {
        ended = true;
        jobWatch.end();
        workerWatch.end();
        broadcaster.end();
        host.view().end();
    }

    boolean running() {
        return scheduler != null && !ended;
    }

    long sequence() {
        return broadcaster.sequence();
    }

    FleetSummary summary() {
        return running() ? scheduler.summary() : FleetSummary.empty();
    }

    Map<String, Integer> pending() {
        return running() ? scheduler.pending() : Map.of();
    }

    /** Marks a heartbeat of the leader: by the next one, hosts should have received all changes up to this point. */
    void markHeartbeat() {
        heartbeatSequence = broadcaster.sequence();
    }

    boolean isBehind(long seen) {
        return running() && seen < heartbeatSequence;
    }

    /** Sends a full state snapshot to a host that is behind. */
    void sendSnapshot(String address) {
        broadcaster.scheduleSnapshot(List.of(address));
    }

    /**
     * Passes accepted jobs to the scheduler.
     *
     * @param from the host that accepted them, empty when it is unknown
     * @param jobs the jobs
     */
    void accept(String from, List<Job> jobs) {
        apply(() -> {
            jobs.forEach(job -> broadcaster.recordAcceptingHost(from, job.id()));
            // JobWatch passes in every job a second time; latency is not measured again for one that has since ended
            jobs.stream().filter(scheduler::accept).forEach(latencies::accepted);
        });
    }

    void cancel(String job) {
        apply(() -> scheduler.cancel(job));
    }

    void configure() {
        apply(() -> host.config()
                .config()
                .ifPresent(config -> scheduler.configure(config, host.config().evacuatedDomains())));
    }

    void adviceAnswered(String from, PeerMessage.AdviceGiven given) {
        if (given.epoch() == epoch()) {
            Optional<List<Grant>> grants = given.answered() ? Optional.of(given.grants()) : Optional.empty();
            apply(() -> scheduler.adviceAnswered(from, given.step(), grants));
        }
    }

    private void restore(TermStore.Loaded loaded, long requestedAtMs) {
        if (ended) {
            return;
        }
        LOG.info(
                "records read epoch={} jobs={} ended={} afterMs={}",
                epoch(),
                loaded.jobs().size(),
                loaded.ended().size(),
                host.loop().nowMs() - requestedAtMs);
        scheduler = Scheduler.create(limits, epoch(), host.config().config().orElseThrow());
        tokens = TermTokens.of(scheduler);
        tokens.follows(predecessor.epoch());
        earliestStoreMs = loaded.storeMs();
        advance();
        configure();
        scheduler.restore(loaded.jobs(), loaded.ended(), loaded.awaitingRetirement(), loaded.workers());
        scheduler.restoreCancellations(loaded.unmatchedCancellations());
        host.view().begin(scheduler);
        broadcaster.begin();
        Map<String, JobState> states = scheduler.states();
        publish.accept(states);
        broadcaster.scheduleSnapshot(hosts.addresses().values());
        workerWatch.start();
        tickPeriodically();
        jobWatch.start(loaded);
    }

    private long epoch() {
        return lease.record().epoch();
    }

    private void advance() {
        scheduler.advance(host.loop().nowMs(), host.loop().wallMs());
        scheduler.storeClock(new StoreClock(earliestStoreMs, lease.latestStoreMs(), predecessor.endsAtStoreMs()));
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            long delayMs = throttle.nextTickDelayMs(host.loop().nowMs());
            if (delayMs > 0) {
                host.loop().after(delayMs, this::tickWhenDue);
            } else {
                host.loop().execute(this::tickWhenDue);
            }
        }
    }

    /** Runs the scheduled tick unless a periodic tick has already run. */
    private void tickWhenDue() {
        if (tickScheduled) {
            failFast.run(this::tick);
        }
    }

    private void tickPeriodically() {
        if (!ended) {
            failFast.run(this::tick);
            host.loop().after(throttle.idleDelayMs(), this::tickPeriodically);
        }
    }

    private void tick() {
        tickScheduled = false;
        if (ended || !lease.mayCommand()) {
            return;
        }
        long beganAtMs = host.loop().nowMs();
        advance();
        List<String> adviceHosts = new ArrayList<>(hosts.live(host.loop().nowMs()));
        adviceHosts.remove(host.name());
        adviceHosts.add(host.name());
        scheduler.adviceHosts(adviceHosts);
        for (Effect effect : scheduler.tick()) {
            execute(effect);
        }
        long endedAtMs = host.loop().nowMs();
        throttle.recordTick(beganAtMs, endedAtMs);
        loadReporter.recordTick(beganAtMs, endedAtMs, scheduler.lastTickCost());
    }

    private void execute(Effect effect) {
        switch (effect) {
            case Effect.Start start -> start(start);
            case Effect.Stop stop -> stop(stop);
            case Effect.RenewLease renewal -> renewLease(renewal);
            case Effect.Probe probe -> probe(probe);
            case Effect.RaiseToken raise ->
                lease.raiseToken(raise.token(), () -> applyLater(() -> tokens.raised(raise.token())));
            case Effect.Save save -> batches.write(save);
            case Effect.Retire retire -> retire(retire);
            case Effect.RequestAdvice request -> requestAdvice(request);
            case Effect.Publish publish -> publish(publish.states());
        }
    }

    private void requestAdvice(Effect.RequestAdvice request) {
        long timeoutMs = request.expectedMs() + ADVICE_GRACE_MS;
        long epoch = epoch();
        if (request.host().equals(host.name())) {
            host.requestAdvice(
                    request.step(),
                    request.workers(),
                    timeoutMs,
                    (answered, grants) -> adviceAnswered(
                            host.name(), new PeerMessage.AdviceGiven(epoch, request.step(), answered, grants)));
        } else {
            hosts.address(request.host())
                    .ifPresent(address -> host.bus()
                            .send(
                                    address,
                                    new PeerMessage.AdviceWanted(epoch, request.step(), request.workers(), timeoutMs)));
        }
    }

    private void renewLease(Effect.RenewLease renewal) {
        long requestedAtMs = host.loop().nowMs();
        host.workers()
                .renewLease(renewal, tokens.token(renewal.worker()))
                .subscribe(
                        report -> applyLater(() -> {
                            host.metrics().order("hold", "ANSWERED", host.loop().nowMs() - requestedAtMs);
                            scheduler.leaseRenewed(renewal.worker(), report, requestedAtMs);
                        }),
                        error -> applyLater(() -> {
                            host.metrics().order("hold", "FAILED", host.loop().nowMs() - requestedAtMs);
                            scheduler.leaseRenewalFailed(renewal.worker(), WorkerAgentClient.mayArrive(error));
                            handleFailure(renewal.worker(), error, requestedAtMs);
                        }));
    }

    private void probe(Effect.Probe probe) {
        long requestedAtMs = host.loop().nowMs();
        host.workers()
                .renewLease(probe.request(), tokens.token(probe.worker()))
                .subscribe(
                        report -> applyLater(() -> scheduler.probed(probe.worker(), report, requestedAtMs)),
                        error -> applyLater(() -> {
                            scheduler.probeFailed(probe.worker());
                            handleFailure(probe.worker(), error, requestedAtMs);
                        }));
    }

    private void handleFailure(String worker, Throwable error, long requestedAtMs) {
        String code =
                error instanceof AcaciafoldException typed ? typed.failure().code() : "";
        switch (code) {
            case WorkerAgentClient.FENCED -> logFenced(worker);
            case WorkerAgentClient.OTHER_WORKER -> scheduler.incarnationEnded(worker, requestedAtMs);
            default -> LOG.debug("worker does not report worker={} reason={}", worker, error.getMessage());
        }
    }

    private void logFenced(String worker) {
        // also a call that was sent just before the token was raised
        LOG.error("worker rejected the fencing token worker={} token={}", worker, tokens.token(worker));
    }

    private void publish(Map<String, JobState> states) {
        broadcaster.publish(states);
        publish.accept(states);
        latencies.recordStates(states, host.loop().wallMs());
    }

    private void retire(Effect.Retire retire) {
        TermStore records = host.termStore();
        records.retire(retire.jobs()).subscribe(ids -> applyLater(() -> scheduler.retired(ids)));
        records.remove(retire.expired()).subscribe(ids -> applyLater(() -> scheduler.removed(ids, Set.of())));
        records.removeCancellations(retire.cancellations())
                .subscribe(ids -> applyLater(() -> scheduler.removed(Set.of(), ids)));
    }

    /** Applies that the store will never take a row, at once, so that a claim in it is dropped before it is ordered. */
    private void refused(Transaction.Write row) {
        host.metrics().rowRefused(row.table());
        apply(() -> {
            if (row.table().equals(StoreRecords.PROGRESS)) {
                scheduler.progressRefused(row.key());
            } else {
                scheduler.claimsRefused(row.key());
            }
        });
    }

    private void start(Effect.Start start) {
        if (!lease.mayCommand()) {
            scheduler.started(start.worker(), start.task(), start.run(), StartOutcome.REFUSED);
            return;
        }
        long requestedAtMs = host.loop().nowMs();
        host.workers().start(start, tokens.token(start.worker())).subscribe(answer -> {
            host.metrics().order("start", answer.outcome().name(), host.loop().nowMs() - requestedAtMs);
            applyLater(() -> {
                answer.clockMs().ifPresent(clock -> scheduler.clockReported(start.worker(), clock, requestedAtMs));
                scheduler.started(start.worker(), start.task(), start.run(), answer.outcome());
            });
        });
    }

    private void stop(Effect.Stop stop) {
        long requestedAtMs = host.loop().nowMs();
        host.workers()
                .stop(stop, tokens.token(stop.worker()))
                .subscribe(outcome -> applyLater(() -> {
                    host.metrics().order("stop", outcome.name(), host.loop().nowMs() - requestedAtMs);
                    if (outcome == StopOutcome.FENCED) {
                        logFenced(stop.worker());
                    }
                    scheduler.stopped(stop.worker(), stop.task(), stop.run(), outcome);
                }));
    }

    private void applyLater(Runnable change) {
        host.loop().execute(() -> apply(change));
    }

    /** Applies a change to the scheduler and schedules a tick to act on it. */
    private void apply(Runnable change) {
        if (running()) {
            failFast.run(() -> {
                advance();
                change.run();
                scheduleTick();
            });
        }
    }
}
