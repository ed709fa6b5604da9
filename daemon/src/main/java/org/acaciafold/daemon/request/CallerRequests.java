package org.acaciafold.daemon.request;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

import io.netty.buffer.Unpooled;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.acaciafold.coordination.ClientCall;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.daemon.HttpAnswers;
import org.acaciafold.daemon.RequestContext;
import org.acaciafold.wire.Header;
import org.acaciafold.wire.RelayHead;
import org.acaciafold.wire.RelayResponse;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers the live requests of callers with the complete response of a replica or with a single typed error. */
final class CallerRequests implements LiveRequests {
    private static final String PREFIX = "/v1/services/";
    private static final String CALLER = "caller";
    private static final long DEFAULT_DEADLINE_MS = 10_000;
    private static final long MAX_DEADLINE_MS = 600_000;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final long MAX_BUFFERED_BYTES = 262_144;
    private static final int MAX_KEY_LENGTH = 256;
    /** The time after the deadline until which a result of the attempts is still accepted. */
    private static final Duration RESPONSE_GRACE = Duration.ofMillis(100);

    private final RequestContext context;
    private final Attempts attempts;
    private final IdempotentRequests idempotent;
    private final String self;

    private CallerRequests(RequestContext context, Attempts attempts, IdempotentRequests idempotent) {
        this.context = context;
        this.attempts = attempts;
        this.idempotent = idempotent;
        this.self = context.settings().host().value();
    }

    static CallerRequests of(RequestContext context, Attempts attempts, IdempotentRequests idempotent) {
        return new CallerRequests(context, attempts, idempotent);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response, Optional<WorkspaceId> workspace) {
        long startMs = context.clock().nowMs();
        String parent = request.requestHeaders().get(LiveHeaders.TRACEPARENT, "");
        Span span = context.tracing().start("entry", SpanKind.SERVER, parent);
        return parse(request, workspace, context.tracing().traceparent(span))
                .flatMap(call -> run(call, request))
                .contextWrite(context.tracing().within(span))
                .onErrorResume(AcaciafoldException.class, error -> Mono.just(new AttemptResult.Failed(error.failure())))
                .flatMap(result -> {
                    record(span, result, startMs);
                    return answer(response, result);
                });
    }

    private Mono<Call> parse(HttpServerRequest request, Optional<WorkspaceId> workspace, String traceparent) {
        try {
            String rest = request.uri().substring(request.uri().indexOf(PREFIX) + PREFIX.length());
            String service = rest.split("[/?]", 2)[0];
            if (service.isEmpty()) {
                throw rejection(Step.ROUTING, "not-found", "no service is named");
            }
            boolean open = context.snapshot().get().settings().openServices().containsKey(service);
            if (workspace.isEmpty() && !open) {
                throw rejection(Step.AUTHORIZATION, "no-key", "the service is not open to callers without a key");
            }
            long deadlineMs = deadlineMs(request.requestHeaders().get(LiveHeaders.DEADLINE));
            Optional<String> key = key(request.requestHeaders().get(LiveHeaders.KEY));
            String method = request.method().name();
            boolean repeatable = method.equals("GET") || method.equals("HEAD");
            RelayHead head = new RelayHead(
                    UUID.randomUUID().toString(),
                    workspace.orElse(ClientCall.ANYONE),
                    service,
                    method,
                    rest.substring(service.length()),
                    headers(request),
                    deadlineMs,
                    traceparent,
                    repeatable && key.isEmpty());
            return Mono.just(new Call(head, key, Deadline.after(context.clock(), deadlineMs)));
        } catch (AcaciafoldException e) {
            return Mono.error(e);
        }
    }

    private Mono<AttemptResult> run(Call call, HttpServerRequest request) {
        Failure late = Failure.unknown(Step.RESPONSE, self, "deadline", "no response within the deadline");
        return body(call, request)
                .flatMap(body -> call.key().isPresent()
                        ? idempotent.run(
                                call.head(),
                                call.key().get(),
                                body.whole().orElseThrow(),
                                call.deadline(),
                                () -> attempts.run(call.head(), body, call.deadline()))
                        : attempts.run(call.head(), body, call.deadline()))
                .timeout(call.deadline().left().plus(RESPONSE_GRACE), Mono.just(new AttemptResult.Failed(late)));
    }

    /** Buffers short bodies and those of requests with an idempotency key; streams all others. */
    private Mono<RequestBody> body(Call call, HttpServerRequest request) {
        long maxBytes = context.settings().maxBodyBytes();
        OptionalLong length = LiveHeaders.length(call.head().headers());
        if (length.isPresent() && length.getAsLong() > maxBytes) {
            return Mono.error(new AcaciafoldException(BodyLengths.tooLong(maxBytes)));
        }
        Flux<byte[]> content = BodyLengths.bounded(request.receive().asByteArray(), maxBytes);
        boolean whole = call.key().isPresent() || length.isPresent() && length.getAsLong() <= MAX_BUFFERED_BYTES;
        if (!whole) {
            return Mono.just(RequestBody.streamed(content));
        }
        return content.reduceWith(ByteArrayOutputStream::new, (buffer, part) -> {
                    buffer.writeBytes(part);
                    return buffer;
                })
                .map(buffer -> RequestBody.whole(buffer.toByteArray()));
    }

    private Mono<Void> answer(HttpServerResponse response, AttemptResult result) {
        return switch (result) {
            case AttemptResult.Failed failed -> HttpAnswers.failure(response, withRetry(failed.failure()));
            case AttemptResult.Answered answered -> stream(response, answered.response());
        };
    }

    private void record(Span span, AttemptResult result, long startMs) {
        Duration took = Duration.ofMillis(context.clock().nowMs() - startMs);
        switch (result) {
            case AttemptResult.Answered answered -> {
                context.metrics().liveRequest(Outcome.RAN, "ok", took);
                context.tracing()
                        .end(span, Integer.toString(answered.response().head().status()), false);
            }
            case AttemptResult.Failed failed -> {
                Failure failure = failed.failure();
                context.metrics().liveRequest(failure.outcome(), failure.code(), took);
                context.tracing().end(span, failure.code(), true);
            }
        }
    }

    private static Mono<Void> stream(HttpServerResponse response, RelayResponse answered) {
        response.status(answered.head().status());
        for (Header header : answered.head().headers()) {
            response.addHeader(header.name(), header.value());
        }
        response.header(HttpAnswers.OUTCOME_HEADER, HttpAnswers.outcome(Outcome.RAN));
        OptionalLong length = LiveHeaders.length(answered.head().headers());
        if (length.isPresent() && length.getAsLong() == 0) {
            Mono<Void> empty = Mono.defer(response::send);
            return answered.body().then(HttpAnswers.onEventLoop(response, empty));
        }
        Mono<Void> whole = response.send(answered.body().map(Unpooled::wrappedBuffer), part -> true)
                .then();
        return HttpAnswers.onEventLoop(response, whole);
    }

    private static long deadlineMs(String text) throws AcaciafoldException {
        try {
            long value = text == null ? DEFAULT_DEADLINE_MS : Long.parseLong(text.trim());
            if (value >= 1 && value <= MAX_DEADLINE_MS) {
                return value;
            }
        } catch (NumberFormatException e) {
            // rejected below, like a value out of range
        }
        String message = "Acaciafold-Deadline-Ms must be from 1 to " + MAX_DEADLINE_MS + ", not " + text;
        throw rejection(Step.ADMISSION, "bad-request", message);
    }

    /** Returns the headers to forward; adds length 0 if there is no declared length and the body is not streamed. */
    private static List<Header> headers(HttpServerRequest request) {
        List<Header> headers = new ArrayList<>(LiveHeaders.forwarded(request.requestHeaders()));
        boolean streamed = request.requestHeaders().contains("transfer-encoding");
        if (!streamed && LiveHeaders.length(headers).isEmpty()) {
            headers.add(new Header(LiveHeaders.LENGTH, "0"));
        }
        return List.copyOf(headers);
    }

    private static Optional<String> key(String text) throws AcaciafoldException {
        if (text == null) {
            return Optional.empty();
        }
        if (text.isBlank() || text.length() > MAX_KEY_LENGTH || text.contains("/")) {
            String message = "Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters and no slash";
            throw rejection(Step.ADMISSION, "bad-request", message);
        }
        return Optional.of(text);
    }

    private static AcaciafoldException rejection(Step step, String code, String message) {
        return new AcaciafoldException(Failure.notRun(step, CALLER, code, message));
    }

    private static Failure withRetry(Failure failure) {
        boolean temporary =
                switch (failure.step()) {
                    case AUTHORIZATION, SETTINGS -> false;
                    case ADMISSION, CLAIM, ROUTING, TABLE, OBJECTS, PEER, PLACEMENT, WORKER, RESPONSE -> true;
                };
        return temporary && failure.retryAfterMs().isEmpty() ? failure.withRetryAfterMs(RETRY_AFTER_MS) : failure;
    }

    /** A parsed request. */
    private record Call(RelayHead head, Optional<String> key, Deadline deadline) {}
}
