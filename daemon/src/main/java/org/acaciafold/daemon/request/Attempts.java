package org.acaciafold.daemon.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.request.RetryBudget;
import org.acaciafold.daemon.RequestContext;
import org.acaciafold.wire.RelayHead;
import org.acaciafold.wire.RelayRequest;
import org.acaciafold.wire.RelayResponse;
import reactor.core.publisher.Mono;

/**
 * Sends a live request to a replica, directly or through the owner of its worker, and retries it where that is safe.
 *
 * <p>A rejection by the state machine of this host is final, because the state machine has already waited for a slot as
 * long as waiting helps. An attempt that was sent is retried only if it provably did not run or if the request may run
 * twice, and only within the retry budget of the workspace and the deadline. The backoff between attempts adds up to
 * about 2.5 s, which covers the takeover of a slice by another entry host.
 */
final class Attempts {
    private static final int MAX_ATTEMPTS = 8;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(10);
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_CAPACITY = 20;

    /** The error codes after which a retry is useless or only adds load. */
    private static final Set<String> NOT_RETRIED = Set.of(
            "queue-full",
            "too-busy",
            "deadline",
            "other-workspace",
            "overloaded",
            "too-long",
            "request-cut",
            "body-cut");

    private final RequestContext context;
    private final WorkerRequests workers;
    private final Map<WorkspaceId, RetryBudget> budgets = new ConcurrentHashMap<>();

    private Attempts(RequestContext context, WorkerRequests workers) {
        this.context = context;
        this.workers = workers;
    }

    static Attempts of(RequestContext context, WorkerRequests workers) {
        return new Attempts(context, workers);
    }

    /**
     * Runs a request, with retries.
     *
     * @param head the head of the request
     * @param body the body of the request
     * @param deadline the deadline of the caller
     * @return the result of the last attempt; the outcome of a failure covers all attempts
     */
    Mono<AttemptResult> run(RelayHead head, RequestBody body, Deadline deadline) {
        budget(head.workspace()).recordRequest();
        return attempt(Attempt.first(head, body, deadline));
    }

    private Mono<AttemptResult> attempt(Attempt attempt) {
        RelayHead numbered = RequestHeads.withRequestId(attempt.head, attempt.head.requestId() + "." + attempt.number);
        ClientCall slot = new ClientCall.AcquireSlot(
                attempt.head.workspace(), attempt.head.service(), attempt.deadline.leftMs(), false);
        return context.core().call(slot).flatMap(reply -> switch (reply) {
            case ClientReply.Failed rejected -> failed(outcomeOfAll(rejected.failure(), attempt.mayHaveRun));
            default ->
                send(numbered, attempt.body, attempt.deadline, reply).flatMap(result -> afterSend(attempt, result));
        });
    }

    private Mono<AttemptResult> afterSend(Attempt attempt, AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered answered -> Mono.just(answered);
            case AttemptResult.Failed failed -> retryOrFail(attempt, failed.failure());
        };
    }

    private Mono<AttemptResult> retryOrFail(Attempt attempt, Failure failure) {
        boolean thisMayHaveRun = failure.outcome() != Outcome.NOT_RUN;
        boolean mayHaveRun = attempt.mayHaveRun || thisMayHaveRun;
        boolean safe = !thisMayHaveRun || attempt.head.repeatable();
        Duration backoff = INITIAL_BACKOFF.multipliedBy(1L << attempt.number);
        boolean worthRetrying =
                !NOT_RETRIED.contains(failure.code()) && attempt.number < MAX_ATTEMPTS && attempt.fitsAnother(backoff);
        if (safe
                && worthRetrying
                && attempt.body.replayable()
                && budget(attempt.head.workspace()).tryRetry()) {
            return Mono.delay(backoff).then(Mono.defer(() -> attempt(attempt.next(mayHaveRun))));
        }
        return failed(outcomeOfAll(failure, mayHaveRun));
    }

    private RetryBudget budget(WorkspaceId workspace) {
        return budgets.computeIfAbsent(workspace, key -> RetryBudget.of(RETRY_RATIO, RETRY_CAPACITY));
    }

    private Mono<AttemptResult> relay(RelayHead head, RequestBody body, Deadline deadline, HostId owner) {
        Optional<String> address = context.snapshot().get().peerAddress(owner);
        if (address.isEmpty()) {
            return failed(Failure.notRun(Step.ROUTING, owner.value(), "unknown-peer", "the host list lacks the owner"));
        }
        RelayHead timed = RequestHeads.withDeadline(head, deadline.leftMs());
        return context.peers()
                .relay(address.get(), new RelayRequest(timed, body.content()))
                .map(response -> relayed(response))
                .onErrorResume(error -> failed(relayFailure(owner, error)));
    }

    private Mono<AttemptResult> send(RelayHead head, RequestBody body, Deadline deadline, ClientReply reply) {
        return switch (reply) {
            case ClientReply.SlotGranted granted -> {
                SlotLease lease = SlotLease.of(context.core(), context.clock(), granted);
                yield workers.send(new RelayRequest(head, body.content()), lease, deadline);
            }
            case ClientReply.SlotElsewhere elsewhere -> relay(head, body, deadline, elsewhere.owner());
            default ->
                failed(Failure.notRun(
                        Step.ROUTING,
                        context.settings().host().value(),
                        "internal",
                        "unexpected reply to a slot request"));
        };
    }

    private static Mono<AttemptResult> failed(Failure failure) {
        return Mono.just(new AttemptResult.Failed(failure));
    }

    private static AttemptResult relayed(RelayResponse response) {
        return response.head()
                .failure()
                .<AttemptResult>map(AttemptResult.Failed::new)
                .orElseGet(() -> new AttemptResult.Answered(response));
    }

    private static Failure relayFailure(HostId owner, Throwable error) {
        return error instanceof AcaciafoldException typed
                ? typed.failure()
                : Failure.unknown(Step.PEER, owner.value(), "relay-failed", String.valueOf(error.getMessage()));
    }

    /** Returns the last failure with the outcome of all attempts together. */
    private static Failure outcomeOfAll(Failure last, boolean mayHaveRun) {
        return mayHaveRun
                ? new Failure(
                        last.step(), last.peer(), Outcome.UNKNOWN, last.code(), last.message(), last.retryAfterMs())
                : last;
    }

    /**
     * One attempt at a request.
     *
     * @param head the head of the request
     * @param body the body of the request
     * @param deadline the deadline of the caller
     * @param number the number of the attempt, from 1
     * @param mayHaveRun whether an earlier attempt may have run
     * @param leftMs the time left until the deadline when the attempt began, in milliseconds
     */
    private record Attempt(
            RelayHead head, RequestBody body, Deadline deadline, int number, boolean mayHaveRun, long leftMs) {
        private static Attempt first(RelayHead head, RequestBody body, Deadline deadline) {
            return new Attempt(head, body, deadline, 1, false, deadline.leftMs());
        }

        private Attempt next(boolean mayHaveRunNow) {
            return new Attempt(head, body, deadline, number + 1, mayHaveRunNow, deadline.leftMs());
        }

        /** Returns whether another attempt, if it takes as long as this one, ends before the deadline. */
        private boolean fitsAnother(Duration backoff) {
            long left = deadline.leftMs();
            long took = leftMs - left;
            return left > backoff.toMillis() + took;
        }
    }
}
