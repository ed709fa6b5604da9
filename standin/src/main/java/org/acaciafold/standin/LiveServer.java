package org.acaciafold.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Answers live requests for the replicas of a worker. It echoes the body unless the payload of the job (see
 * {@link SimulatedWork}) or the query of the request selects another answer.
 *
 * <p>Query parameters: {@code sleep=MS} delays the answer, {@code status=CODE} sets its status, {@code cut} closes the
 * connection after half of the body, {@code crossed} returns the correlation id of another request.
 */
final class LiveServer {
    private static final String PREFIX = "/v1/serve/";
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int CHUNK_BYTES = 1_024;
    private static final int CUT_BYTES = 4_096;

    private final String worker;
    private final WorkerAgent agent;
    private final Clock clock;
    private final Map<String, Integer> executions;

    private LiveServer(String worker, WorkerAgent agent, Clock clock, Map<String, Integer> executions) {
        this.worker = worker;
        this.agent = agent;
        this.clock = clock;
        this.executions = executions;
    }

    static LiveServer of(String worker, WorkerAgent agent, Clock clock, Map<String, Integer> executions) {
        return new LiveServer(worker, agent, clock, executions);
    }

    Mono<Void> refuseConnection(HttpServerRequest request, HttpServerResponse response) {
        Failure failure = Failure.notRun(Step.WORKER, worker, "no-connection", "too many connections");
        return refuse(request, response, STATUS_UNAVAILABLE, failure);
    }

    Mono<Void> serve(HttpServerRequest request, HttpServerResponse response) {
        Admission admission;
        synchronized (agent) {
            admission = agent.begin(parseCall(request), clock.nowMs());
        }
        return switch (admission) {
            case Admission.Rejected rejected -> {
                boolean stale = !rejected.failure().code().startsWith("no-");
                int status = stale ? STATUS_CONFLICT : STATUS_UNAVAILABLE;
                yield refuse(request, response, status, rejected.failure());
            }
            case Admission.Admitted admitted ->
                answer(request, response, admitted).doFinally(signal -> end(admitted.number()));
        };
    }

    private Mono<Void> answer(HttpServerRequest request, HttpServerResponse response, Admission.Admitted admitted) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        SimulatedWork work = SimulatedWork.of(admitted.payload());
        long sleepMs = Long.parseLong(parameter(query, "sleep", Long.toString(work.sleepMs())));
        boolean crossed = query.parameters().containsKey("crossed");
        response.status(Integer.parseInt(parameter(query, "status", Integer.toString(STATUS_OK))))
                .header("acaciafold-request", crossed ? "another" : header(request, "acaciafold-request"))
                .header("acaciafold-worker", worker);
        if (query.parameters().containsKey("cut")) {
            return cut(response);
        }
        if (work.streamChunks() > 0) {
            return stream(response, work.streamChunks(), sleepMs);
        }
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .map(body -> work.countsExecutions() ? execute(request) : body)
                .flatMap(body ->
                        sleepMs > 0 ? Mono.just(body).delayElement(Duration.ofMillis(sleepMs)) : Mono.just(body))
                .flatMap(body -> response.header("content-length", Integer.toString(body.length))
                        .sendByteArray(Mono.just(body))
                        .then());
    }

    private Mono<Void> cut(HttpServerResponse response) {
        byte[] half = new byte[CUT_BYTES / 2];
        response.header("content-length", Integer.toString(CUT_BYTES));
        Flux<ByteBuf> body = Flux.concat(
                Mono.just(Unpooled.wrappedBuffer(half)), Mono.error(new IOException("the response is cut as asked")));
        return response.send(body, part -> true).then();
    }

    private void end(long number) {
        synchronized (agent) {
            agent.end(number, clock.nowMs());
        }
    }

    private byte[] execute(HttpServerRequest request) {
        String key = header(request, "idempotency-key");
        int count = executions.merge(header(request, "acaciafold-workspace") + "/" + key, 1, Integer::sum);
        return ("{\"key\":\"" + key + "\",\"execution\":" + count + "}").getBytes(StandardCharsets.UTF_8);
    }

    private Mono<Void> refuse(HttpServerRequest request, HttpServerResponse response, int status, Failure failure) {
        return response.status(status)
                .header("acaciafold-request", header(request, "acaciafold-request"))
                .header("acaciafold-outcome", "not-run")
                .header("content-type", "application/json")
                .sendByteArray(Mono.just(Codec.json().encode(failure, Failure.class)))
                .then();
    }

    private static LiveCall parseCall(HttpServerRequest request) {
        String path = request.uri().substring(request.uri().indexOf(PREFIX) + PREFIX.length());
        String service = path.split("[/?]", 2)[0];
        return new LiveCall(
                header(request, "acaciafold-request"),
                workspaceOf(request),
                service,
                parseFence(header(request, "acaciafold-fence")),
                parseNumber(header(request, "acaciafold-lease")),
                header(request, "idempotency-key"));
    }

    private static Fence parseFence(String text) {
        int dot = text.indexOf('.');
        return dot < 0
                ? Fence.none()
                : Fence.of(parseNumber(text.substring(0, dot)), parseNumber(text.substring(dot + 1)));
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.requestHeaders().get(name);
        return value == null ? "" : value;
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static WorkspaceId workspaceOf(HttpServerRequest request) {
        String workspace = header(request, "acaciafold-workspace");
        return WorkspaceId.of(workspace.isBlank() ? "none" : workspace);
    }

    private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
        return query.parameters().getOrDefault(name, List.of(defaultValue)).getFirst();
    }

    private static Mono<Void> stream(HttpServerResponse response, int chunks, long sleepMs) {
        byte[] chunk = new byte[CHUNK_BYTES];
        Arrays.fill(chunk, (byte) 'x');
        Flux<byte[]> body = Flux.range(0, chunks).map(index -> chunk);
        Flux<byte[]> paced = sleepMs > 0 ? body.delayElements(Duration.ofMillis(sleepMs)) : body;
        return response.send(paced.map(Unpooled::wrappedBuffer), part -> true).then();
    }
}
