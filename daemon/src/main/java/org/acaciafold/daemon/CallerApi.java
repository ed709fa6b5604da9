package org.acaciafold.daemon;

import java.util.List;
import java.util.Optional;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.JobPhase;
import org.acaciafold.coordination.JobRequest;
import org.acaciafold.coordination.JobStatus;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.daemon.request.LiveRequests;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP interface for callers: jobs, and live requests to services. */
final class CallerApi {
    private static final String API = "callers";
    private static final String CALLER = "caller";
    private static final String SERVICES = "/v1/services/";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final CoreCalls core;
    private final AccessKeys keys;
    private final LiveRequests live;
    private final HostMetrics metrics;
    private final Tracing tracing;
    private final long maxBodyBytes;

    CallerApi(
            CoreCalls core,
            AccessKeys keys,
            LiveRequests live,
            HostMetrics metrics,
            Tracing tracing,
            long maxBodyBytes) {
        this.core = core;
        this.keys = keys;
        this.live = live;
        this.metrics = metrics;
        this.tracing = tracing;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Registers the routes of this interface.
     *
     * @param routes the routes to add to
     */
    void routes(HttpServerRoutes routes) {
        routes.post("/v1/jobs", HttpListener.withErrorHandling(API, metrics, traced("submit", this::submit)));
        routes.get(
                "/v1/jobs/{job}/result", HttpListener.withErrorHandling(API, metrics, traced("result", this::result)));
        routes.get("/v1/jobs/{job}", HttpListener.withErrorHandling(API, metrics, traced("status", this::status)));
        routes.delete("/v1/jobs/{job}", HttpListener.withErrorHandling(API, metrics, traced("cancel", this::cancel)));
        routes.route(
                request -> request.uri().startsWith(SERVICES),
                HttpListener.withErrorHandling(API, metrics, this::liveRequest));
        routes.route(request -> true, HttpListener.withErrorHandling(API, metrics, CallerApi::unknownRoute));
    }

    static Mono<Void> unknownRoute(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        String message = "no such resource: " + request.method() + " " + request.path();
        throw new AcaciafoldException(Failure.notRun(Step.ROUTING, CALLER, "not-found", message));
    }

    private Mono<Void> cancel(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        ClientCall call = new ClientCall.Cancel(workspace(request), job(request));
        return core.call(call).flatMap(reply -> answer(response, ACCEPTED, reply));
    }

    private Mono<Void> liveRequest(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        Optional<WorkspaceId> workspace = keys.optionalWorkspace(authorization(request));
        return live.handle(request, response, workspace);
    }

    private Mono<Void> result(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        ClientCall call = new ClientCall.QueryJob(workspace(request), job(request));
        return core.call(call).flatMap(reply -> result(response, reply));
    }

    private Mono<Void> status(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        ClientCall call = new ClientCall.QueryJob(workspace(request), job(request));
        return core.call(call).flatMap(reply -> switch (reply) {
            case ClientReply.JobFound found -> HttpAnswers.json(response, OK, found.status(), JobStatus.class);
            default -> answer(response, OK, reply);
        });
    }

    private Mono<Void> submit(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        WorkspaceId workspace = workspace(request);
        String key = JobRequests.checkKey(request.requestHeaders().get("Idempotency-Key", ""));
        return RequestBodies.read(request, "application/json", maxBodyBytes)
                .flatMap(body -> submit(workspace, key, body))
                .flatMap(reply -> answer(response, ACCEPTED, reply));
    }

    private Mono<ClientReply> submit(WorkspaceId workspace, String key, byte[] body) {
        try {
            JobRequest job = JobRequests.read(body);
            return core.call(new ClientCall.Submit(workspace, key, job));
        } catch (AcaciafoldException e) {
            return Mono.error(e);
        }
    }

    private WorkspaceId workspace(HttpServerRequest request) throws AcaciafoldException {
        return keys.workspace(authorization(request));
    }

    private HttpHandler traced(String name, HttpHandler handler) {
        return (request, response) -> {
            String parent = request.requestHeaders().get("traceparent", "");
            Span span = tracing.start("entry " + name, SpanKind.SERVER, parent);
            try {
                return handler.handle(request, response)
                        .contextWrite(tracing.within(span))
                        .doFinally(signal -> end(span, response));
            } catch (AcaciafoldException e) {
                tracing.end(span, e.failure().code(), true);
                throw e;
            }
        };
    }

    private void end(Span span, HttpServerResponse response) {
        int status = response.status().code();
        tracing.end(span, Integer.toString(status), status >= 500);
    }

    private static Mono<Void> answer(HttpServerResponse response, int status, ClientReply reply) {
        return reply instanceof ClientReply.Failed failed
                ? Mono.error(new AcaciafoldException(failed.failure()))
                : HttpAnswers.json(response, status, reply, ClientReply.class);
    }

    private static String authorization(HttpServerRequest request) {
        return request.requestHeaders().get("Authorization");
    }

    private static JobId job(HttpServerRequest request) throws AcaciafoldException {
        String text = request.param("job");
        if (text == null || text.isBlank()) {
            throw new AcaciafoldException(Failure.notRun(Step.ROUTING, CALLER, "not-found", "no job is named"));
        }
        return JobId.of(text);
    }

    private static Mono<Void> result(HttpServerResponse response, ClientReply reply) {
        if (!(reply instanceof ClientReply.JobFound found)) {
            return answer(response, OK, reply);
        }
        JobStatus status = found.status();
        return switch (status.phase()) {
            case SUCCEEDED, FAILED, CANCELLED -> HttpAnswers.json(response, OK, JobResult.of(status), JobResult.class);
            case WAITING, RUNNING -> Mono.error(notEnded(status));
        };
    }

    private static AcaciafoldException notEnded(JobStatus status) {
        String message = "the job is " + status.phase() + "; its result comes when it has ended";
        return new AcaciafoldException(
                Failure.notRun(Step.RESPONSE, status.job().value(), "not-ended", message));
    }

    /**
     * The result of a job that has ended.
     *
     * @param job the job
     * @param phase the final phase
     * @param problem the reason why the job could not continue, empty when there is none
     * @param results the results of its tasks
     */
    record JobResult(JobId job, JobPhase phase, Optional<String> problem, List<String> results) {
        static JobResult of(JobStatus status) {
            return new JobResult(status.job(), status.phase(), status.problem(), status.results());
        }
    }
}
