package org.acaciafold.daemon.request;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;

import io.micrometer.core.instrument.Counter;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Step;
import org.acaciafold.daemon.RequestContext;
import org.acaciafold.daemon.Tracing;
import org.acaciafold.wire.Header;
import org.acaciafold.wire.RelayHead;
import org.acaciafold.wire.RelayRequest;
import org.acaciafold.wire.RelayResponse;
import org.acaciafold.wire.RelayStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquirePendingLimitException;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquireTimeoutException;
import reactor.netty.resources.ConnectionProvider;

/** Sends live requests to workers over HTTP, with the fencing token and lease of a slot that was granted before. */
final class WorkerRequests {
    private static final int CONNECTIONS_PER_WORKER = 16;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final Duration MAX_IDLE = Duration.ofSeconds(10);
    private static final String PREFIX = "/v1/serve/";
    private static final int SERVER_ERROR = 500;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HttpClient client;
    private final Tracing tracing;
    private final Counter mismatched;

    private WorkerRequests(HttpClient client, Tracing tracing, Counter mismatched) {
        this.client = client;
        this.tracing = tracing;
        this.mismatched = mismatched;
    }

    static WorkerRequests of(RequestContext context) {
        ConnectionProvider pool = ConnectionProvider.builder("live-requests")
                .maxConnections(CONNECTIONS_PER_WORKER)
                .pendingAcquireMaxCount(CONNECTIONS_PER_WORKER)
                .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
                .maxIdleTime(MAX_IDLE)
                .build();
        HttpClient client = HttpClient.create(pool)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        Counter mismatched = context.metrics().registry().counter("acaciafold.live.responses.mismatched");
        return new WorkerRequests(client, context.tracing(), mismatched);
    }

    /**
     * Sends a request and releases the slot when the response has ended.
     *
     * @param request the request
     * @param lease the slot
     * @param deadline the deadline of the caller
     * @return the result of the attempt
     */
    Mono<AttemptResult> send(RelayRequest request, SlotLease lease, Deadline deadline) {
        RelayHead head = request.head();
        Span span = tracing.start("worker " + head.service(), SpanKind.CLIENT, head.traceparent());
        return exchange(request, lease, deadline, tracing.traceparent(span))
                .timeout(deadline.left())
                .onErrorResume(error -> Mono.just(new AttemptResult.Failed(failed(lease, error))))
                .doOnCancel(() -> lease.release(true, false))
                .doOnNext(result -> end(span, result))
                .doOnCancel(() -> tracing.end(span, "cancelled", true));
    }

    private Mono<AttemptResult> exchange(RelayRequest request, SlotLease lease, Deadline deadline, String traceparent) {
        RelayHead head = request.head();
        OptionalLong length = LiveHeaders.length(head.headers());
        HttpClient.RequestSender sender = client.headers(
                        headers -> addHeaders(headers, head, lease, deadline, traceparent))
                .request(HttpMethod.valueOf(head.method()))
                .uri("http://" + lease.slot().address() + PREFIX + head.service() + head.path());
        boolean empty = length.isPresent() && length.getAsLong() == 0;
        HttpClient.ResponseReceiver<?> receiver = empty
                ? sender
                : sender.send(BodyLengths.checked(request.body(), length, Step.RESPONSE, "caller")
                        .map(Unpooled::wrappedBuffer));
        return receiver.responseConnection(
                        (response, connection) -> received(head, lease, deadline, response, connection))
                .next();
    }

    private void addHeaders(
            HttpHeaders headers, RelayHead head, SlotLease lease, Deadline deadline, String traceparent) {
        head.headers().forEach(header -> headers.add(header.name(), header.value()));
        Fence fence = lease.slot().fence();
        headers.set(LiveHeaders.FENCE, fence.epoch() + "." + fence.counter());
        headers.set(LiveHeaders.LEASE, lease.slot().leaseSequence());
        headers.set(LiveHeaders.WORKSPACE, lease.slot().serviceWorkspace().value());
        headers.set(LiveHeaders.REQUEST, head.requestId());
        headers.set(LiveHeaders.DEADLINE, deadline.leftMs());
        if (!traceparent.isEmpty()) {
            headers.set(LiveHeaders.TRACEPARENT, traceparent);
        }
    }

    private Mono<AttemptResult> received(
            RelayHead head, SlotLease lease, Deadline deadline, HttpClientResponse response, Connection connection) {
        String worker = lease.slot().worker().value();
        int status = response.status().code();
        if (!head.requestId().equals(response.responseHeaders().get(LiveHeaders.REQUEST))) {
            mismatched.increment();
            connection.dispose();
            String message = "the response belongs to another request";
            return Mono.error(
                    new AcaciafoldException(Failure.unknown(Step.WORKER, worker, "mismatched-response", message)));
        }
        if (LiveHeaders.NOT_RUN.equals(response.responseHeaders().get(LiveHeaders.OUTCOME))) {
            return rejected(lease, connection);
        }
        List<Header> headers = LiveHeaders.forwarded(response.responseHeaders());
        boolean noBody = head.method().equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED;
        OptionalLong length = noBody ? OptionalLong.of(0) : LiveHeaders.length(headers);
        Flux<byte[]> body = BodyLengths.checked(
                        connection.inbound().receive().asByteArray(), length, Step.WORKER, worker)
                .takeUntilOther(failAtDeadline(deadline, worker))
                .doOnComplete(() -> lease.release(status < SERVER_ERROR, true))
                .doOnError(error -> lease.release(false, false))
                .doOnCancel(() -> lease.release(true, false))
                .doFinally(signal -> connection.dispose());
        RelayStatus responded = new RelayStatus(head.requestId(), status, headers, Optional.empty());
        return Mono.just(new AttemptResult.Answered(new RelayResponse(responded, body)));
    }

    private static Mono<AttemptResult> rejected(SlotLease lease, Connection connection) {
        String worker = lease.slot().worker().value();
        return connection
                .inbound()
                .receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .onErrorReturn(new byte[0])
                .doFinally(signal -> connection.dispose())
                .map(bytes -> {
                    lease.release(false, true);
                    return new AttemptResult.Failed(rejection(worker, bytes));
                });
    }

    private static Failure rejection(String worker, byte[] bytes) {
        try {
            Failure reported = Codec.json().decode(bytes, Failure.class, Step.WORKER, worker);
            return Failure.notRun(Step.WORKER, worker, reported.code(), reported.message());
        } catch (AcaciafoldException e) {
            return Failure.notRun(Step.WORKER, worker, "refused", "the worker refused the request");
        }
    }

    private static Mono<Void> failAtDeadline(Deadline deadline, String worker) {
        Failure failure = Failure.unknown(Step.WORKER, worker, "deadline", "no whole response within the deadline");
        return Mono.delay(deadline.left()).then(Mono.error(new AcaciafoldException(failure)));
    }

    private void end(Span span, AttemptResult result) {
        switch (result) {
            case AttemptResult.Answered answered -> {
                int status = answered.response().head().status();
                tracing.end(span, Integer.toString(status), status >= SERVER_ERROR);
            }
            case AttemptResult.Failed failed ->
                tracing.end(span, failed.failure().code(), true);
        }
    }

    /** Releases the slot after an error and returns a failure that is not-run only if the request was never sent. */
    private static Failure failed(SlotLease lease, Throwable error) {
        String worker = lease.slot().worker().value();
        boolean neverSent = error instanceof ConnectException
                || error instanceof PoolAcquireTimeoutException
                || error instanceof PoolAcquirePendingLimitException;
        lease.release(false, neverSent);
        if (neverSent) {
            return Failure.notRun(Step.WORKER, worker, "unreachable", String.valueOf(error.getMessage()));
        }
        if (error instanceof AcaciafoldException typed) {
            Failure cause = typed.failure();
            return Failure.unknown(cause.step(), cause.peer(), cause.code(), cause.message());
        }
        boolean timedOut = error instanceof TimeoutException;
        String message = timedOut ? "no response within the deadline" : "no response: " + error.getMessage();
        return Failure.unknown(Step.WORKER, worker, timedOut ? "deadline" : "no-response", message);
    }
}
