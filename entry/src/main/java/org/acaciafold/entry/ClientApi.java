package org.acaciafold.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.Workspace;
import org.acaciafold.platform.JobJson;
import org.acaciafold.platform.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import reactor.core.publisher.Mono;
import reactor.util.function.Tuples;

/** Handles the requests of clients: accepts jobs, returns their states and cancels them. */
final class ClientApi {
    private static final Logger LOG = LoggerFactory.getLogger(ClientApi.class);
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int NOT_ALLOWED = 405;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * Fraction of the time within which a configuration version must be in force. A configuration that has not been
     * confirmed for longer may miss a version, so requests are rejected.
     */
    private static final double MAX_CONFIG_AGE_FRACTION = 0.75;

    /** Time before the client's deadline at which a response is sent at the latest. */
    private static final long RESPONSE_MARGIN_MS = 150;

    private static final long UNKNOWN_RETRY_MS = 100;

    /**
     * Cancellations of unknown jobs that one host records in a period. Their records stay in the store for some time,
     * and a new leader reads them all.
     */
    private static final int MAX_UNMATCHED_CANCELLATIONS = 600;

    private static final long UNMATCHED_CANCELLATIONS_PERIOD_MS = 60_000;

    private final HostContext host;
    private final Leadership leadership;
    private final StoreRelay relay;
    private final JobStateCache jobStates;
    private final OutageTracker outage = new OutageTracker();
    private final UnresolvedCreations unresolved = new UnresolvedCreations();
    private final RecentEvents unmatchedCancellations =
            new RecentEvents(MAX_UNMATCHED_CANCELLATIONS, UNMATCHED_CANCELLATIONS_PERIOD_MS);
    private final double maxConfigAgeMs;

    ClientApi(HostContext host, Leadership leadership, StoreRelay relay, JobStateCache jobStates, long configApplyMs) {
        this.host = host;
        this.leadership = leadership;
        this.relay = relay;
        this.jobStates = jobStates;
        this.maxConfigAgeMs = configApplyMs * MAX_CONFIG_AGE_FRACTION;
    }

    /**
     * Returns whether this host can accept jobs: it has a recent configuration, and reaches the store directly or
     * through the leader. While it cannot, clients are better served by other hosts.
     */
    boolean canAcceptJobs() {
        boolean before = outage.ongoing();
        outage.observe(hasRecentConfig() && !storeUnreachable(), host.loop().nowMs());
        if (outage.ongoing() != before) {
            LOG.info(
                    "jobs can be accepted={} configAgeMs={} storeResponds={} leaderResponds={}",
                    before,
                    host.config().ageText(),
                    !host.store().unresponsive(),
                    relay.available());
        }
        return !outage.ongoing();
    }

    Mono<ClientReply> handle(ClientRequest request) {
        Optional<FleetConfig> config = host.config().config();
        if (config.isEmpty() || !hasRecentConfig()) {
            boolean unknown = config.isPresent() && mayBeCreated(request, config.get());
            log(
                    request,
                    "",
                    unknown ? GATEWAY_TIMEOUT : UNAVAILABLE,
                    "configuration age " + host.config().ageText() + " ms");
            return Mono.just(unknown ? ClientReply.of(GATEWAY_TIMEOUT) : retryLater());
        }
        Optional<Route> route = config.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            log(request, "", NOT_FOUND, "no route");
            return Mono.just(ClientReply.of(NOT_FOUND));
        }
        Optional<Workspace> workspace = config.get().workspaceOf(JobJson.apiKey(request.authorization()));
        if (workspace.isEmpty() && !route.get().open()) {
            log(request, "", UNAUTHORIZED, "unknown key");
            return Mono.just(ClientReply.of(UNAUTHORIZED));
        }
        String id = identifier(request, route.get());
        String owner = workspace.map(Workspace::name).orElse("");
        return switch (request.method()) {
            case "POST" -> submit(request, id, route.get(), owner);
            case "GET" -> id.isEmpty() ? pending(route.get()) : state(request, id);
            case "DELETE" -> cancel(request, id);
            default -> Mono.just(ClientReply.of(NOT_ALLOWED));
        };
    }

    private static String identifier(ClientRequest request, Route route) {
        return request.path().substring(route.pathPrefix().length());
    }

    /** Returns whether an earlier write may still create the job that a request submits, which is not rejected then. */
    private boolean mayBeCreated(ClientRequest request, FleetConfig config) {
        return request.method().equals("POST")
                && config.route(request.host(), request.path())
                        .map(route -> identifier(request, route))
                        .filter(id -> unresolved.contains(id, host.loop().nowMs()))
                        .isPresent();
    }

    private ClientReply retryLater() {
        return ClientReply.retry(UNAVAILABLE, outage.retryAfterS(host.loop().nowMs()));
    }

    private boolean hasRecentConfig() {
        return host.config().config().isPresent() && host.config().ageMs() <= maxConfigAgeMs;
    }

    private Mono<ClientReply> submit(ClientRequest request, String id, Route route, String workspace) {
        if (jobStates.state(id).isPresent()) {
            log(request, id, OK, "job already known");
            return Mono.just(ClientReply.of(OK));
        }
        Optional<Job> job =
                JobJson.decode(id, route, workspace, request.body(), host.loop().wallMs());
        if (job.isEmpty() || id.isEmpty()) {
            log(request, id, BAD_REQUEST, "body cannot be parsed or job identifier missing");
            return Mono.just(ClientReply.of(BAD_REQUEST));
        }
        Optional<String> invalidReason = job.get().invalidReason();
        if (invalidReason.isPresent()) {
            log(request, id, BAD_REQUEST, invalidReason.get());
            return Mono.just(ClientReply.of(BAD_REQUEST));
        }
        byte[] record = StoreRecords.encode(job.get(), Job.class);
        if (record.length > Transaction.MAX_VALUE_BYTES) {
            log(request, id, BAD_REQUEST, "the job's record has " + record.length + " bytes, too many for a row");
            return Mono.just(ClientReply.of(BAD_REQUEST));
        }
        boolean first = !unresolved.contains(id, host.loop().nowMs());
        if (storeUnreachable() && first) {
            log(request, id, UNAVAILABLE, "store unresponsive, nothing was sent to it");
            return Mono.just(retryLater());
        }
        return writeJob(request, job.get(), record, first);
    }

    /**
     * Writes a job. On the first write, NOT_DONE proves that the job is not stored; on a retry, by this request or a later
     * one, it proves nothing, since the earlier write may still be applied.
     */
    private Mono<ClientReply> writeJob(ClientRequest request, Job job, byte[] value, boolean first) {
        Mono<StoreAccess.Creation> written = create(StoreRecords.JOBS, job.id(), value);
        return withinDeadline(request, written, StoreAccess.Creation.UNKNOWN).flatMap(creation -> switch (creation) {
            case CREATED -> Mono.just(accepted(request, job));
            case EXISTED -> Mono.just(alreadyAccepted(request, job.id()));
            case NOT_DONE -> first ? storeRejected(request, job) : retryUnknown(request, job, value);
            case UNKNOWN -> {
                unresolved.add(job.id(), host.loop().nowMs());
                yield retryUnknown(request, job, value);
            }
        });
    }

    /**
     * Retries a write whose outcome is unknown, so that the client receives a certain outcome. Reports it as unknown
     * when the client's deadline is near or the store is unreachable.
     */
    private Mono<ClientReply> retryUnknown(ClientRequest request, Job job, byte[] value) {
        boolean tooLate = host.loop().nowMs() + RESPONSE_MARGIN_MS >= request.deadlineMs();
        if (tooLate || storeUnreachable()) {
            log(request, job.id(), GATEWAY_TIMEOUT, "outcome of the write is unknown");
            return Mono.just(ClientReply.of(GATEWAY_TIMEOUT));
        }
        return host.loop().delay(UNKNOWN_RETRY_MS).then(Mono.defer(() -> writeJob(request, job, value, false)));
    }

    private boolean storeUnreachable() {
        return host.store().unresponsive() && !relay.available();
    }

    /** Creates a row, through the leader when the store rejects this host's write or is unresponsive. */
    private Mono<StoreAccess.Creation> create(String table, String key, byte[] value) {
        if (host.store().unresponsive()) {
            return relay.create(table, key, value);
        }
        return host.store()
                .create(table, StoreRecords.partitionOf(table, key), key, value)
                .flatMap(outcome -> outcome == StoreAccess.Creation.NOT_DONE
                        ? relay.create(table, key, value)
                        : Mono.just(outcome));
    }

    private Mono<ClientReply> storeRejected(ClientRequest request, Job job) {
        log(request, job.id(), UNAVAILABLE, "store rejects writes");
        return Mono.just(retryLater());
    }

    /** Limits a call to the time for which the client waits for its response. */
    private <T> Mono<T> withinDeadline(ClientRequest request, Mono<T> call, T fallback) {
        long leftMs = request.deadlineMs() - RESPONSE_MARGIN_MS - host.loop().nowMs();
        return Mono.firstWithSignal(call, host.loop().delay(Math.max(0, leftMs)).thenReturn(fallback));
    }

    private ClientReply accepted(ClientRequest request, Job job) {
        unresolved.created(job.id());
        jobStates.accepted(job);
        leadership.sendToLeader(new PeerMessage.Accepted(List.of(job)));
        log(request, job.id(), OK, "accepted");
        return ClientReply.of(OK);
    }

    private ClientReply alreadyAccepted(ClientRequest request, String id) {
        unresolved.created(id);
        log(request, id, OK, "already accepted");
        return ClientReply.of(OK);
    }

    private Mono<ClientReply> pending(Route route) {
        OptionalInt counted = leadership.pending(route.name());
        if (counted.isEmpty()) {
            return Mono.just(retryLater());
        }
        int count = counted.getAsInt() + jobStates.unacknowledged(route.name());
        return Mono.just(ClientReply.ok(JobJson.encodePending(count)));
    }

    private Mono<ClientReply> state(ClientRequest request, String id) {
        Optional<JobState> known = jobStates.state(id);
        boolean current = known.isPresent() && (known.get().ended() || leadership.hasRecentStates());
        if (current) {
            return Mono.just(stateReply(known.get()));
        }
        ClientReply fallback = known.map(ClientApi::stateReply).orElse(retryLater());
        Mono<ClientReply> read = readState(id)
                .map(found -> found.map(ClientApi::stateReply).orElseGet(() -> {
                    log(request, id, GONE, "no such job in the store");
                    return ClientReply.of(GONE);
                }))
                .onErrorResume(error -> Mono.just(fallback));
        return withinDeadline(request, read, fallback);
    }

    private static ClientReply stateReply(JobState state) {
        return ClientReply.ok(JobJson.encodeState(state));
    }

    /** Reads the state of a job from the store; empty when the store has no such job. */
    private Mono<Optional<JobState>> readState(String id) {
        // the job's own row is read last: its progress row is removed only after the job's row holds the final state
        return Mono.zip(
                        host.store()
                                .readOne(
                                        StoreRecords.CANCELLATIONS,
                                        StoreRecords.partitionOf(StoreRecords.CANCELLATIONS, id),
                                        id),
                        host.store().readOne(StoreRecords.PROGRESS, StoreRecords.SLICE, id))
                .flatMap(earlier -> host.store()
                        .readOne(StoreRecords.JOBS, StoreRecords.partitionOf(StoreRecords.JOBS, id), id)
                        .map(job -> Tuples.of(job, earlier.getT1(), earlier.getT2())))
                .map(rows -> {
                    if (rows.getT1().isEmpty()) {
                        return Optional.<JobState>empty();
                    }
                    JobState recorded = rows.getT1()
                            .flatMap(StoreRecords::decodeEnded)
                            .map(EndedJob::state)
                            .or(() -> rows.getT3()
                                    .flatMap(StoreRecords::decodeProgress)
                                    .map(Progress::state))
                            .orElse(JobState.QUEUED);
                    boolean cancelled = rows.getT2().isPresent() && !recorded.ended();
                    JobState state = cancelled ? JobState.CANCELLED : recorded;
                    host.loop().execute(() -> jobStates.update(id, state));
                    return Optional.of(state);
                });
    }

    private Mono<ClientReply> cancel(ClientRequest request, String id) {
        Optional<JobState> known = jobStates.state(id);
        if (known.isPresent()) {
            return known.get().ended() ? Mono.just(ClientReply.of(OK)) : cancelKnown(request, id);
        }
        return readState(id)
                .flatMap(found -> {
                    if (found.isEmpty()) {
                        return cancelUnknown(request, id);
                    }
                    return found.get().ended() ? Mono.just(ClientReply.of(OK)) : cancelKnown(request, id);
                })
                .onErrorResume(error -> Mono.just(retryLater()));
    }

    private Mono<ClientReply> cancelKnown(ClientRequest request, String id) {
        return recordCancellation(request, id).map(creation -> switch (creation) {
            case CREATED, EXISTED -> {
                jobStates.update(id, JobState.CANCELLED);
                log(request, id, OK, "cancelled");
                yield ClientReply.of(OK);
            }
            case NOT_DONE -> retryLater();
            case UNKNOWN -> ClientReply.of(GATEWAY_TIMEOUT);
        });
    }

    /**
     * Records the cancellation of a job that is not in the store before it is reported as gone, since a write that
     * creates the job may still be under way.
     */
    private Mono<ClientReply> cancelUnknown(ClientRequest request, String id) {
        if (!StoreRecords.isKey(id)) {
            log(request, id, GONE, "no job has such an identifier");
            return Mono.just(ClientReply.of(GONE));
        }
        if (!unmatchedCancellations.permits(host.loop().nowMs())) {
            log(request, id, UNAVAILABLE, "too many cancellations of unknown jobs");
            return Mono.just(retryLater());
        }
        return recordCancellation(request, id).map(creation -> switch (creation) {
            case CREATED, EXISTED -> {
                if (creation == StoreAccess.Creation.CREATED) {
                    unmatchedCancellations.add(host.loop().nowMs());
                }
                log(request, id, GONE, "no such job in the store, cancellation recorded");
                yield ClientReply.of(GONE);
            }
            case NOT_DONE -> retryLater();
            case UNKNOWN -> ClientReply.of(GATEWAY_TIMEOUT);
        });
    }

    private Mono<StoreAccess.Creation> recordCancellation(ClientRequest request, String id) {
        byte[] record = StoreRecords.encodeCancellation(host.loop().wallMs());
        Mono<StoreAccess.Creation> written = create(StoreRecords.CANCELLATIONS, id, record);
        return withinDeadline(request, written, StoreAccess.Creation.UNKNOWN).doOnNext(creation -> {
            if (creation == StoreAccess.Creation.CREATED || creation == StoreAccess.Creation.EXISTED) {
                leadership.sendToLeader(new PeerMessage.Cancelled(id));
            }
        });
    }

    private void log(ClientRequest request, String id, int status, String reason) {
        // rejections and failures are logged as warnings, which the log queue drops last
        Level level = status < BAD_REQUEST ? Level.INFO : Level.WARN;
        LOG.atLevel(level)
                .log(
                        "request method={} job={} status={} reason={} config={}",
                        request.method(),
                        id,
                        status,
                        reason,
                        host.config().config().map(FleetConfig::version).orElse(0L));
    }
}
