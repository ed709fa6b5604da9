package org.acaciafold.clients;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.resolver.DefaultAddressResolverGroup;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Plain HTTP calls over a bounded connection pool, never repeated by the client itself. */
public final class JsonHttp {
    private static final int CONNECTIONS_PER_PEER = 32;
    private static final int WAITING_PER_PEER = 1_024;
    private static final Duration MAX_IDLE = Duration.ofSeconds(20);
    /** A connection within a site is open in milliseconds; a lost opening packet is sent again after a second. */
    private static final int CONNECT_TIMEOUT_MS = 1_200;

    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] NO_BODY = new byte[0];
    private static final int STATUS_OK = 200;
    private static final int STATUS_REDIRECT = 300;

    private final HttpClient client;
    private final Duration timeout;
    private final Step step;
    private final Scheduler timers;

    private JsonHttp(HttpClient client, Duration timeout, Step step, Scheduler timers) {
        this.client = client;
        this.timeout = timeout;
        this.timers = timers;
        this.step = step;
    }

    /**
     * Creates a client with its own pool.
     *
     * @param name the name of the pool
     * @param timeoutMs the timeout of a whole call in milliseconds
     * @param step the step to name in errors
     * @return the client
     */
    static JsonHttp of(String name, long timeoutMs, Step step) {
        ConnectionProvider pool = ConnectionProvider.builder(name)
                .maxConnections(CONNECTIONS_PER_PEER)
                .pendingAcquireMaxCount(WAITING_PER_PEER)
                .pendingAcquireTimeout(Duration.ofMillis(timeoutMs))
                .maxIdleTime(MAX_IDLE)
                .build();
        HttpClient client = HttpClient.create(pool)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(timeoutMs));
        return new JsonHttp(client, Duration.ofMillis(timeoutMs), step, Schedulers.parallel());
    }

    /**
     * Creates a client on given event loops, whose connections stay open while they are unused.
     *
     * @param loops the event loops
     * @param name the name of the pool
     * @param connections the most connections to one peer
     * @param step the step to name in errors
     * @return the client; its calls carry timeouts of their own
     */
    public static JsonHttp on(LoopResources loops, String name, int connections, Step step) {
        ConnectionProvider pool = ConnectionProvider.builder(name)
                .maxConnections(connections)
                .pendingAcquireMaxCount(WAITING_PER_PEER)
                .pendingAcquireTimeout(ACQUIRE_TIMEOUT)
                .lifo()
                .build();
        HttpClient client = HttpClient.create(pool)
                .runOn(loops, false)
                // addresses are numbers; a resolver of names would only cost time at the start
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .disableRetry(true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        Scheduler timers = Schedulers.fromExecutorService(loops.onClient(false).next());
        return new JsonHttp(client, ACQUIRE_TIMEOUT, step, timers);
    }

    /**
     * Makes a call and returns its answer, whatever its status.
     *
     * @param call the call
     * @return the answer, or an error that tells whether the call may have run
     */
    public Mono<Answer> exchange(Call call) {
        Mono<Answer> answer = client.headers(headers -> call.headers().forEach(headers::set))
                .request(HttpMethod.valueOf(call.method()))
                .uri(uri(call.address(), call.path()))
                .send(call.body().length == 0 ? Mono.empty() : ByteBufFlux.fromInbound(Mono.just(call.body())))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(NO_BODY)
                        .map(bytes -> new Answer(response.status().code(), bytes)));
        return guarded(call.address(), answer, Duration.ofMillis(call.timeoutMs()));
    }

    /**
     * Reads a resource.
     *
     * @param address an IP number and a port
     * @param path the path
     * @return status and body
     */
    Mono<Answer> get(String address, String path) {
        return guarded(
                address,
                client.get()
                        .uri(uri(address, path))
                        .responseSingle((response, body) -> body.asByteArray()
                                .defaultIfEmpty(new byte[0])
                                .map(bytes -> new Answer(response.status().code(), bytes))));
    }

    /**
     * Posts a body.
     *
     * @param address an IP number and a port
     * @param path the path
     * @param body the body
     * @return the body of a successful answer; an error signal carries an {@link AcaciafoldException}
     */
    Mono<byte[]> post(String address, String path, byte[] body) {
        Mono<byte[]> answer = client.headers(headers -> headers.set("content-type", "application/json"))
                .post()
                .uri(uri(address, path))
                .send(ByteBufFlux.fromInbound(Mono.just(body)))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .flatMap(bytes -> successful(address, response, bytes)));
        return guarded(address, answer);
    }

    /**
     * Puts a body.
     *
     * @param address an IP number and a port
     * @param path the path
     * @param body the body
     * @return completes on success; an error signal carries an {@link AcaciafoldException}
     */
    Mono<Void> put(String address, String path, byte[] body) {
        Mono<byte[]> answer = client.put()
                .uri(uri(address, path))
                .send(ByteBufFlux.fromInbound(Mono.just(body)))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .flatMap(bytes -> successful(address, response, bytes)));
        return guarded(address, answer).then();
    }

    private <T> Mono<T> guarded(String address, Mono<T> call) {
        return guarded(address, call, timeout);
    }

    private <T> Mono<T> guarded(String address, Mono<T> call, Duration limit) {
        return call.timeout(limit, timers).onErrorMap(error -> !(error instanceof AcaciafoldException), error -> {
            String message = String.valueOf(error.getMessage());
            Failure failure = error instanceof ConnectException
                    ? Failure.notRun(step, address, "unreachable", message)
                    : Failure.unknown(step, address, "no-answer", message);
            return new AcaciafoldException(failure, error);
        });
    }

    private Mono<byte[]> successful(String address, HttpClientResponse response, byte[] bytes) {
        int status = response.status().code();
        if (status >= STATUS_OK && status < STATUS_REDIRECT) {
            return Mono.just(bytes);
        }
        String message = "answered with status " + status;
        return Mono.error(new AcaciafoldException(Failure.unknown(step, address, "unexpected-status", message)));
    }

    private static String uri(String address, String path) {
        return "http://" + address + path;
    }

    /**
     * An answer of any status.
     *
     * @param status the HTTP status
     * @param body the body, empty when there is none
     */
    public record Answer(int status, byte[] body) {}

    /**
     * A call.
     *
     * @param method the HTTP method
     * @param address the peer's address
     * @param path the path with its query
     * @param headers the headers
     * @param body the body, empty for none
     * @param timeoutMs the timeout of the whole call in milliseconds
     */
    public record Call(
            String method, String address, String path, Map<String, String> headers, byte[] body, long timeoutMs) {}
}
