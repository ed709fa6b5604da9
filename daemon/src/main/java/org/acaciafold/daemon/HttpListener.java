package org.acaciafold.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.wire.Addresses;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A listening HTTP port that answers errors as typed failures and drains the requests in progress when it stops. */
final class HttpListener {
    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(120);
    private static final String SELF = "entry-host";

    private final String name;
    private final DisposableServer server;
    private final ChannelGroup connections;

    private HttpListener(String name, DisposableServer server, ChannelGroup connections) {
        this.name = name;
        this.server = server;
        this.connections = connections;
    }

    /**
     * Binds a port and starts to serve requests.
     *
     * @param name the name of the interface in logs and metrics
     * @param address an IP number and a port
     * @param routes registers the routes
     * @return the listening port
     * @throws AcaciafoldException when the address cannot be bound
     */
    static HttpListener bind(String name, String address, Consumer<HttpServerRoutes> routes)
            throws AcaciafoldException {
        InetSocketAddress socket = Addresses.parse(address);
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        try {
            DisposableServer server = HttpServer.create()
                    .bindAddress(() -> socket)
                    .channelGroup(connections)
                    .idleTimeout(IDLE_TIMEOUT)
                    .requestTimeout(REQUEST_TIMEOUT)
                    .route(routes)
                    .bindNow();
            LOG.info("listening for {} on {}", name, Addresses.format((InetSocketAddress) server.address()));
            return new HttpListener(name, server, connections);
        } catch (RuntimeException e) {
            String message = "cannot listen for " + name + ": " + e.getMessage();
            throw new AcaciafoldException(Failure.notRun(Step.SETTINGS, address, "port-in-use", message), e);
        }
    }

    /**
     * Wraps a handler so that its errors are answered as typed failures and its requests are counted.
     *
     * @param api the name of the interface in metrics
     * @param metrics where requests are counted
     * @param handler the handler
     * @return the handler for a route
     */
    static BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> withErrorHandling(
            String api, HostMetrics metrics, HttpHandler handler) {
        return (request, response) -> Mono.defer(() -> {
                    try {
                        return handler.handle(request, response);
                    } catch (AcaciafoldException e) {
                        return Mono.error(e);
                    }
                })
                .onErrorResume(error -> answer(request, response, error))
                .doFinally(signal -> metrics.httpRequest(api, response.status().code()));
    }

    /** Returns the bound address; if the given port was 0, with the port that the system assigned. */
    String address() {
        return Addresses.format((InetSocketAddress) server.address());
    }

    /**
     * Stops listening, waits for the requests in progress and closes all connections.
     *
     * @param limit the longest wait
     * @return whether requests were aborted
     */
    boolean stop(Duration limit) {
        try {
            server.disposeNow(limit);
            return false;
        } catch (IllegalStateException e) {
            LOG.warn("{}: aborted the requests that were still in progress after {}", name, limit);
            return true;
        } finally {
            // idle connections may outlive the listener and would still be served
            connections.close().awaitUninterruptibly(limit.toMillis());
        }
    }

    private static Mono<Void> answer(HttpServerRequest request, HttpServerResponse response, Throwable error) {
        if (response.hasSentHeaders()) {
            LOG.warn("response to {} {} was aborted: {}", request.method(), request.uri(), error.toString());
            return Mono.error(error);
        }
        // the connection stays open: closing it with unread bytes could reset it before the caller reads the answer
        return HttpAnswers.failure(response, failure(request, error));
    }

    private static Failure failure(HttpServerRequest request, Throwable error) {
        if (error instanceof AcaciafoldException typed) {
            return typed.failure();
        }
        LOG.error("cannot answer {} {}", request.method(), request.uri(), error);
        return Failure.unknown(Step.ROUTING, SELF, "internal", "an error of the entry host; its log tells more");
    }
}
