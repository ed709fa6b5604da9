package org.acaciafold.entry;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.wire.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP listeners of a host: client requests, and the platform's readiness check with what operators ask. */
final class ClientServer {
    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(300);
    private static final String DEADLINE_HEADER = "deadline-ms";
    private static final long DEFAULT_DEADLINE_MS = 3_000;
    private static final int INTERNAL_ERROR = 500;
    private static final String JSON = "application/json";
    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";
    /** Followed by the identifier of a job, as in the requests of clients. */
    private static final String EXPLAIN_PATH = "/explain/";

    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4";

    /** Sixty times the longest text in a job; the store accepts no longer rows anyway. */
    private static final int MAX_BODY_BYTES = 262_144;

    private static final int TOO_LARGE = 413;

    private final DisposableServer server;
    private final ChannelGroup connections;
    private final AtomicInteger inProgress;

    private ClientServer(DisposableServer server, ChannelGroup connections, AtomicInteger inProgress) {
        this.server = server;
        this.connections = connections;
        this.inProgress = inProgress;
    }

    /**
     * Starts the listener for client requests.
     *
     * @param address the address to listen on
     * @param loop the host's event loop
     * @param handler handles the requests
     * @param metrics counts the responses
     * @param draining returns whether to close connections after their next response
     * @return the listener
     * @throws AcaciafoldException when the address cannot be listened on
     */
    static ClientServer listen(
            String address,
            HostEventLoop loop,
            Function<ClientRequest, Mono<ClientReply>> handler,
            HostMetrics metrics,
            BooleanSupplier draining)
            throws AcaciafoldException {
        AtomicInteger inProgress = new AtomicInteger();
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        DisposableServer server =
                bind(address, loop, connections, HttpServer.create().handle((request, response) -> {
                    inProgress.incrementAndGet();
                    long startedAtMs = loop.nowMs();
                    return readBody(request)
                            .flatMap(body -> handler.apply(toRequest(request, body, loop)))
                            .onErrorResume(error -> Mono.just(errorReply(request, error)))
                            .flatMap(reply -> draining.getAsBoolean() || reply.status() == TOO_LARGE
                                    ? sendAndClose(response, reply)
                                    : send(response, reply, JSON))
                            .doFinally(signal -> {
                                inProgress.decrementAndGet();
                                metrics.request(
                                        request.method().name(),
                                        response.status().code(),
                                        loop.nowMs() - startedAtMs);
                            });
                }));
        return new ClientServer(server, connections, inProgress);
    }

    static ClientServer readiness(String address, HostEventLoop loop, Readiness readiness) throws AcaciafoldException {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        DisposableServer server =
                bind(address, loop, connections, HttpServer.create().handle((request, response) -> {
                    String path = path(request);
                    if (path.startsWith(EXPLAIN_PATH)) {
                        return send(response, readiness.explain(path.substring(EXPLAIN_PATH.length())), PLAIN_TEXT);
                    }
                    return path.startsWith("/metrics")
                            ? send(response, ClientReply.ok(readiness.metrics()), PROMETHEUS_TEXT)
                            : send(response, ClientReply.of(readiness.status()), JSON);
                }));
        return new ClientServer(server, connections, new AtomicInteger());
    }

    /** Returns whether requests have been read whose responses are not complete yet. */
    boolean hasOpenRequests() {
        return inProgress.get() > 0;
    }

    /** Closes the listener and its remaining connections. */
    void close() {
        server.dispose();
        connections.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
        server.onDispose().timeout(CLOSE_TIMEOUT, Mono.empty()).block();
    }

    private static DisposableServer bind(
            String address, HostEventLoop loop, ChannelGroup connections, HttpServer server)
            throws AcaciafoldException {
        InetSocketAddress socket = Addresses.parse(address);
        try {
            return server.bindAddress(() -> socket)
                    .runOn(loop.resources(), false)
                    .idleTimeout(IDLE_TIMEOUT)
                    .doOnConnection(connection -> connections.add(connection.channel()))
                    .bindNow();
        } catch (RuntimeException e) {
            String message = "cannot listen: " + e.getMessage();
            throw new AcaciafoldException(Failure.notRun(Step.SETTINGS, address, "port-in-use", message), e);
        }
    }

    /** Reads a whole body, up to a limit, so that an endless one does not exhaust the host's memory. */
    private static Mono<byte[]> readBody(HttpServerRequest request) {
        return request.receive()
                .asByteArray()
                .collect(ByteArrayOutputStream::new, (read, part) -> {
                    if (read.size() + part.length > MAX_BODY_BYTES) {
                        throw new BodyTooLargeException();
                    }
                    read.writeBytes(part);
                })
                .map(ByteArrayOutputStream::toByteArray);
    }

    private static ClientReply errorReply(HttpServerRequest request, Throwable error) {
        if (error instanceof BodyTooLargeException) {
            LOG.warn("body too large method={} uri={} limit={}", request.method(), request.uri(), MAX_BODY_BYTES);
            return ClientReply.of(TOO_LARGE);
        }
        LOG.error("request failed method={} uri={}", request.method(), request.uri(), error);
        return ClientReply.of(INTERNAL_ERROR);
    }

    private static ClientRequest toRequest(HttpServerRequest request, byte[] body, HostEventLoop loop) {
        String host = request.requestHeaders().get(HttpHeaderNames.HOST, "");
        int port = host.indexOf(':');
        return new ClientRequest(
                request.method().name(),
                port < 0 ? host : host.substring(0, port),
                path(request),
                request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION, ""),
                body,
                loop.nowMs() + parseDeadline(request.requestHeaders().get(DEADLINE_HEADER)));
    }

    private static String path(HttpServerRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static long parseDeadline(String text) {
        try {
            return text == null ? DEFAULT_DEADLINE_MS : Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return DEFAULT_DEADLINE_MS;
        }
    }

    private static Mono<Void> sendAndClose(HttpServerResponse response, ClientReply reply) {
        return send(response.keepAlive(false), reply, JSON);
    }

    private static Mono<Void> send(HttpServerResponse response, ClientReply reply, String contentType) {
        response.status(reply.status());
        if (reply.retryAfterS() > 0) {
            response.header(HttpHeaderNames.RETRY_AFTER, Integer.toString(reply.retryAfterS()));
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(reply.body().length));
        if (reply.body().length == 0) {
            return response.send().then();
        }
        response.header(HttpHeaderNames.CONTENT_TYPE, contentType);
        return response.sendByteArray(Mono.just(reply.body())).then();
    }

    /** Thrown when a request's body exceeds the limit. */
    private static final class BodyTooLargeException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** Provides the readiness status for the platform, and the metrics and explanations for operators. */
    interface Readiness {
        /** Returns the HTTP status of the readiness check: whether this host accepts requests. */
        int status();

        /** Returns the metrics in the Prometheus text format. */
        byte[] metrics();

        /** Describes a job, in plain text. */
        ClientReply explain(String job);
    }
}
