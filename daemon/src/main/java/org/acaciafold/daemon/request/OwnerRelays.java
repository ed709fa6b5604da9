package org.acaciafold.daemon.request;

import java.util.List;
import java.util.Optional;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.daemon.FailureStatus;
import org.acaciafold.daemon.RequestContext;
import org.acaciafold.wire.RelayHandler;
import org.acaciafold.wire.RelayHead;
import org.acaciafold.wire.RelayRequest;
import org.acaciafold.wire.RelayResponse;
import org.acaciafold.wire.RelayStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Answers the live requests that peers relay to this host as the owner of a worker. */
final class OwnerRelays implements RelayHandler {
    private final RequestContext context;
    private final WorkerRequests workers;
    private final String self;

    private OwnerRelays(RequestContext context, WorkerRequests workers) {
        this.context = context;
        this.workers = workers;
        this.self = context.settings().host().value();
    }

    static OwnerRelays of(RequestContext context, WorkerRequests workers) {
        return new OwnerRelays(context, workers);
    }

    @Override
    public Mono<RelayResponse> handle(RelayRequest request) {
        RelayHead head = request.head();
        Deadline deadline = Deadline.after(context.clock(), head.deadlineLeftMs());
        Span span = context.tracing().start("owner " + head.service(), SpanKind.SERVER, head.traceparent());
        RelayRequest traced =
                new RelayRequest(RequestHeads.withTrace(head, context.tracing().traceparent(span)), request.body());
        return context.core()
                .call(new ClientCall.AcquireSlot(head.workspace(), head.service(), deadline.leftMs(), true))
                .flatMap(reply -> serve(traced, deadline, reply))
                .map(result -> answer(head, result))
                .doOnNext(response -> context.tracing()
                        .end(
                                span,
                                Integer.toString(response.head().status()),
                                response.head().failure().isPresent()))
                .doOnCancel(() -> context.tracing().end(span, "cancelled", true));
    }

    private Mono<AttemptResult> serve(RelayRequest request, Deadline deadline, ClientReply reply) {
        return switch (reply) {
            case ClientReply.SlotGranted granted ->
                workers.send(request, SlotLease.of(context.core(), context.clock(), granted), deadline);
            case ClientReply.Failed failed -> Mono.just(new AttemptResult.Failed(failed.failure()));
            default -> {
                String message = "this host has no replica of the service";
                Failure failure = Failure.notRun(Step.ROUTING, self, "no-replica", message);
                yield Mono.just(new AttemptResult.Failed(failure));
            }
        };
    }

    private static RelayResponse answer(RelayHead head, AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answered answered -> answered.response();
            case AttemptResult.Failed failed -> {
                Failure failure = failed.failure();
                RelayStatus status =
                        new RelayStatus(head.requestId(), FailureStatus.of(failure), List.of(), Optional.of(failure));
                yield new RelayResponse(status, Flux.empty());
            }
        };
    }
}
