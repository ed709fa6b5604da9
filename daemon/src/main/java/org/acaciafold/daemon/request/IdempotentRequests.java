package org.acaciafold.daemon.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.StoredOutcome;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.daemon.CoreCalls;
import org.acaciafold.wire.Header;
import org.acaciafold.wire.RelayHead;
import org.acaciafold.wire.RelayResponse;
import org.acaciafold.wire.RelayStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;

/** Runs a request at most once per idempotency key: claims the key before sending and records the outcome after. */
final class IdempotentRequests {
    private static final int MAX_STORED_BYTES = 16_384;
    /** The content type of a recorded outcome whose response body is not stored. */
    private static final String NOT_STORED = "application/vnd.acaciafold.not-kept";

    private static final long RETRY_AFTER_MS = 1_000;
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(500);

    private final CoreCalls core;
    private final String self;

    private IdempotentRequests(CoreCalls core, String self) {
        this.core = core;
        this.self = self;
    }

    static IdempotentRequests of(CoreCalls core, String self) {
        return new IdempotentRequests(core, self);
    }

    /**
     * Runs a request unless its key has already been claimed.
     *
     * @param head the head of the request
     * @param key the idempotency key
     * @param body the complete body of the request
     * @param deadline the deadline of the caller
     * @param run sends the request when called
     * @return the result, or that of the first request with the key
     */
    Mono<AttemptResult> run(
            RelayHead head, String key, byte[] body, Deadline deadline, Supplier<Mono<AttemptResult>> run) {
        ClientCall claim = new ClientCall.Claim(head.workspace(), key, digest(head, body));
        AtomicBoolean timedOut = new AtomicBoolean();
        Mono<ClientReply> claimed = core.call(claim)
                .doOnNext(reply -> settleLateClaim(head, key, reply, timedOut))
                .cache();
        ClientReply late = new ClientReply.Failed(
                Failure.notRun(Step.CLAIM, self, "deadline", "the key was not claimed before the deadline"));
        Mono<ClientReply> inTime = claimed.timeout(deadline.left(), Mono.fromSupplier(() -> {
            timedOut.set(true);
            return late;
        }));
        return inTime.flatMap(reply -> switch (reply) {
            case ClientReply.Claimed ignored -> runClaimed(head, key, run);
            case ClientReply.Repeated repeated -> Mono.just(repeat(head, repeated.outcome()));
            case ClientReply.Failed failed -> Mono.just(new AttemptResult.Failed(failed.failure()));
            default ->
                Mono.just(new AttemptResult.Failed(
                        Failure.notRun(Step.CLAIM, self, "internal", "unexpected reply to a claim")));
        });
    }

    private void settleLateClaim(RelayHead head, String key, ClientReply reply, AtomicBoolean timedOut) {
        if (reply instanceof ClientReply.Claimed && timedOut.get()) {
            settle(head, key, new StoredOutcome(Outcome.NOT_RUN, 0, "", new byte[0]));
        }
    }

    private Mono<AttemptResult> runClaimed(RelayHead head, String key, Supplier<Mono<AttemptResult>> run) {
        StoredOutcome unknown = new StoredOutcome(Outcome.UNKNOWN, 0, "", new byte[0]);
        return run.get()
                .<AttemptResult>map(result -> switch (result) {
                    case AttemptResult.Answered answered ->
                        new AttemptResult.Answered(recorded(head, key, answered.response()));
                    case AttemptResult.Failed failed -> {
                        Outcome outcome = failed.failure().outcome();
                        settle(head, key, new StoredOutcome(outcome, 0, "", new byte[0]));
                        yield failed;
                    }
                })
                .doOnCancel(() -> settle(head, key, unknown));
    }

    /**
     * Returns a response that ends only after its outcome is recorded in the table, so that a retry finds the outcome
     * even if this entry host is lost. While the table is unresponsive, the response ends after a short timeout.
     */
    private RelayResponse recorded(RelayHead head, String key, RelayResponse response) {
        ByteArrayOutputStream stored = new ByteArrayOutputStream();
        AtomicBoolean ended = new AtomicBoolean();
        Flux<byte[]> body = response.body().doOnNext(part -> append(stored, part));
        Mono<Void> record = Mono.defer(() -> {
            ended.set(true);
            ClientCall settle = new ClientCall.Settle(
                    head.workspace(), key, outcome(response.head(), stored, SignalType.ON_COMPLETE));
            return core.call(settle).timeout(SETTLE_TIMEOUT, Mono.empty()).then();
        });
        Flux<byte[]> delayed = isBuffered(response.head())
                ? body.collectList().flatMapMany(parts -> record.thenMany(Flux.fromIterable(parts)))
                : body.concatWith(record.then(Mono.empty()));
        Flux<byte[]> settled = delayed.doFinally(signal -> {
            if (!ended.get()) {
                settle(head, key, outcome(response.head(), stored, signal));
            }
        });
        return new RelayResponse(response.head(), settled);
    }

    /** Returns whether a body is short enough to be buffered until its outcome is recorded. */
    private static boolean isBuffered(RelayStatus head) {
        return LiveHeaders.length(head.headers()).orElse(Long.MAX_VALUE) <= MAX_STORED_BYTES;
    }

    private AttemptResult repeat(RelayHead head, Optional<StoredOutcome> first) {
        boolean answered = first.isPresent() && first.get().status() > 0;
        if (!answered) {
            String message = "a request with this key was sent before; its outcome is not known";
            return new AttemptResult.Failed(
                    Failure.unknown(Step.CLAIM, self, "repeated", message).withRetryAfterMs(RETRY_AFTER_MS));
        }
        StoredOutcome outcome = first.get();
        if (outcome.contentType().equals(NOT_STORED)) {
            String message = "the first request with this key ran and was answered with status " + outcome.status();
            return new AttemptResult.Failed(
                    new Failure(Step.CLAIM, self, Outcome.RAN, "conflict", message, OptionalLong.empty()));
        }
        List<Header> headers = List.of(
                new Header(LiveHeaders.TYPE, outcome.contentType()),
                new Header(LiveHeaders.LENGTH, Integer.toString(outcome.body().length)));
        RelayStatus status = new RelayStatus(head.requestId(), outcome.status(), headers, Optional.empty());
        return new AttemptResult.Answered(new RelayResponse(status, Flux.just(outcome.body())));
    }

    private void settle(RelayHead head, String key, StoredOutcome outcome) {
        core.call(new ClientCall.Settle(head.workspace(), key, outcome)).subscribe();
    }

    private static String digest(RelayHead head, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String line = head.method() + " " + head.service() + " " + head.path() + "\n";
            digest.update(line.getBytes(StandardCharsets.UTF_8));
            digest.update(body);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static void append(ByteArrayOutputStream stored, byte[] part) {
        if (stored.size() <= MAX_STORED_BYTES) {
            stored.writeBytes(part);
        }
    }

    private static StoredOutcome outcome(RelayStatus head, ByteArrayOutputStream stored, SignalType signal) {
        if (signal != SignalType.ON_COMPLETE) {
            return new StoredOutcome(Outcome.RAN, head.status(), NOT_STORED, new byte[0]);
        }
        if (stored.size() > MAX_STORED_BYTES) {
            return new StoredOutcome(Outcome.RAN, head.status(), NOT_STORED, new byte[0]);
        }
        String type = LiveHeaders.find(head.headers(), LiveHeaders.TYPE).orElse("application/octet-stream");
        return new StoredOutcome(Outcome.RAN, head.status(), type, stored.toByteArray());
    }
}
