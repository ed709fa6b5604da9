package org.acaciafold.daemon.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.buffer.Unpooled;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A worker that answers each request with the next queued behavior, and echoes the body when none is queued. */
final class FakeWorker implements AutoCloseable {
    /** The ways in which the worker answers a request. */
    enum Behavior {
        ECHO,
        FAIL,
        REFUSE,
        CROSS,
        CUT,
        CLOSE,
        SLEEP
    }

    private final Deque<Behavior> behaviors = new ArrayDeque<>();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private final List<String> fences = new CopyOnWriteArrayList<>();
    private final List<String> traces = new CopyOnWriteArrayList<>();
    private volatile Runnable onRequest = () -> {};
    private final DisposableServer server =
            HttpServer.create().host("127.0.0.1").port(0).handle(this::serve).bindNow();

    @Override
    public void close() {
        server.disposeNow();
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    synchronized void answer(Behavior... next) {
        behaviors.addAll(List.of(next));
    }

    /** Sets a hook that runs on each request. */
    void onRequest(Runnable value) {
        onRequest = value;
    }

    /** Returns the bodies of the requests that it did not reject. */
    List<String> bodies() {
        return bodies;
    }

    List<String> fences() {
        return fences;
    }

    List<String> traces() {
        return traces;
    }

    private Mono<Void> serve(HttpServerRequest request, HttpServerResponse response) {
        onRequest.run();
        Behavior behavior = next();
        String id = request.requestHeaders().get("acaciafold-request");
        fences.add(request.requestHeaders().get("acaciafold-fence") + "/"
                + request.requestHeaders().get("acaciafold-lease"));
        traces.add(request.requestHeaders().get("traceparent", ""));
        response.header("acaciafold-request", behavior == Behavior.CROSS ? "other" : id);
        return request.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(body -> answer(behavior, body, response));
    }

    private Mono<Void> answer(Behavior behavior, String body, HttpServerResponse response) {
        if (behavior == Behavior.REFUSE) {
            Failure failure = Failure.notRun(Step.WORKER, "w", "no-slot", "full");
            return response.status(503)
                    .header("acaciafold-outcome", "not-run")
                    .sendByteArray(Mono.just(Codec.json().encode(failure, Failure.class)))
                    .then();
        }
        bodies.add(body);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return switch (behavior) {
            case ECHO, CROSS ->
                response.header("content-length", Integer.toString(bytes.length))
                        .sendByteArray(Mono.just(bytes))
                        .then();
            case FAIL -> response.status(500).send();
            case SLEEP -> Mono.delay(Duration.ofSeconds(20)).then(response.send());
            case CLOSE ->
                Mono.fromRunnable(() -> response.withConnection(
                        connection -> connection.channel().close()));
            case CUT ->
                response.header("content-length", "1000")
                        .send(
                                Flux.concat(
                                        Mono.just(Unpooled.wrappedBuffer(new byte[500])),
                                        Mono.error(new IOException("the worker truncates its response"))),
                                part -> true)
                        .then();
            case REFUSE -> throw new IllegalStateException("handled above");
        };
    }

    private synchronized Behavior next() {
        return behaviors.isEmpty() ? Behavior.ECHO : behaviors.poll();
    }
}
