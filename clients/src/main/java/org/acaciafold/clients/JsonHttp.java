package org.acaciafold.clients;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.resolver.DefaultAddressResolverGroup;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** An HTTP client with a bounded connection pool, which never retries a call. */
public final class JsonHttp {
    /** The code of the failure when the connection ended before the answer. */
    public static final String DISCONNECTED = "disconnected";

    private static final int MAX_CONNECTIONS_PER_PEER = 32;
    private static final int MAX_PENDING_PER_PEER = 1_024;
    private static final Duration MAX_IDLE = Duration.ofSeconds(20);
    /** Allows for one lost SYN packet, which TCP resends after 1 s; connections within a site open in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 1_200;

    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] NO_BODY = new byte[0];
    private static final int STATUS_OK = 200;
    private static final int STATUS_REDIRECT = 300;

    private final HttpClient client;
    private final Duration timeout;
    private final Step step;
    private final Scheduler timeoutScheduler;

    private JsonHttp(HttpClient client, Duration timeout, Step step, Scheduler timeoutScheduler) {
        this.client = client;
        this.timeout = timeout;
        this.timeoutScheduler = timeoutScheduler;
        this.step = step;
    }

    /**
     * Creates a client with its own connection pool.
     *
     * @param name the name of the connection pool
     * @param timeoutMs the timeout of a whole call in milliseconds
     * @param step the step to report in errors
     * @return the client
     */
    static JsonHttp of(String name, long timeoutMs, Step step) {
        ConnectionProvider pool = ConnectionProvider.builder(name)
                .maxConnections(MAX_CONNECTIONS_PER_PEER)
                .pendingAcquireMaxCount(MAX_PENDING_PER_PEER)
                .pendingAcquireTimeout(Duration.ofMillis(timeoutMs))
                .maxIdleTime(MAX_IDLE)
                .build();
        HttpClient client = HttpClient.create(pool)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(timeoutMs));
        return new JsonHttp(client, Duration.ofMillis(timeoutMs), step, Schedulers.parallel());
    }

    /**
     * Creates a client that runs on the given event loops and keeps idle connections open.
     *
     * @param loops the event loops
     * @param name the name of the connection pool
     * @param connections the maximum number of connections to one peer
     * @param step the step to report in errors
     * @return the client; each {@link Call} carries its own timeout
     */
    public static JsonHttp on(LoopResources loops, String name, int connections, Step step) {
        ConnectionProvider pool = ConnectionProvider.builder(name)
                .maxConnections(connections)
                .pendingAcquireMaxCount(MAX_PENDING_PER_PEER)
                .pendingAcquireTimeout(ACQUIRE_TIMEOUT)
                .lifo()
                .build();
        HttpClient client = HttpClient.create(pool)
                .runOn(loops, false)
                // addresses are numeric, so a DNS resolver would only slow down startup
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .disableRetry(true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        Scheduler timeoutScheduler =
                Schedulers.fromExecutorService(loops.onClient(false).next());
        return new JsonHttp(client, ACQUIRE_TIMEOUT, step, timeoutScheduler);
    }

    /**
     * Executes a call and returns its answer, whatever the status.
     *
     * @param call the call
     * @return the answer; an error signal carries an {@link AcaciafoldException}, whose outcome states whether the
     *     call may have run
     */
    public Mono<Answer> exchange(Call call) {
        if (!NumericAddress.isValid(call.address())) {
            String message = "not an IP number and a port";
            return Mono.error(
                    new AcaciafoldException(Failure.notRun(step, call.address(), "malformed-address", message)));
        }
        Mono<Answer> answer = client.headers(headers -> call.headers().forEach(headers::set))
                .request(HttpMethod.valueOf(call.method()))
                .uri(uri(call.address(), call.path()))
                .send(body(call.body()))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(NO_BODY)
                        .map(bytes -> new Answer(response.status().code(), bytes)));
        return withTimeout(call.address(), answer, Duration.ofMillis(call.timeoutMs()));
    }

    /**
     * Gets a resource.
     *
     * @param address an IP address and a port
     * @param path the path
     * @return the status and the body
     */
    Mono<Answer> get(String address, String path) {
        return withTimeout(
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
     * @param address an IP address and a port
     * @param path the path
     * @param body the body
     * @return the body of a successful answer; an error signal carries an {@link AcaciafoldException}
     */
    Mono<byte[]> post(String address, String path, byte[] body) {
        Mono<byte[]> answer = client.headers(headers -> headers.set("content-type", "application/json"))
                .post()
                .uri(uri(address, path))
                .send(body(body))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .flatMap(bytes -> requireSuccess(address, response, bytes)));
        return withTimeout(address, answer);
    }

    /**
     * Puts a body.
     *
     * @param address an IP address and a port
     * @param path the path
     * @param body the body
     * @return completes on success; an error signal carries an {@link AcaciafoldException}
     */
    Mono<Void> put(String address, String path, byte[] body) {
        Mono<byte[]> answer = client.put()
                .uri(uri(address, path))
                .send(body(body))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .flatMap(bytes -> requireSuccess(address, response, bytes)));
        return withTimeout(address, answer).then();
    }

    private <T> Mono<T> withTimeout(String address, Mono<T> call) {
        return withTimeout(address, call, timeout);
    }

    private <T> Mono<T> withTimeout(String address, Mono<T> call, Duration limit) {
        return call.timeout(limit, timeoutScheduler)
                .onErrorMap(error -> !(error instanceof AcaciafoldException), error -> {
                    String message = String.valueOf(error.getMessage());
                    return new AcaciafoldException(failure(error, address, message), error);
                });
    }

    private Failure failure(Throwable error, String address, String message) {
        if (error instanceof ConnectException) {
            return Failure.notRun(step, address, "unreachable", message);
        }
        return Failure.unknown(step, address, error instanceof IOException ? DISCONNECTED : "no-answer", message);
    }

    private Mono<byte[]> requireSuccess(String address, HttpClientResponse response, byte[] bytes) {
        int status = response.status().code();
        if (status >= STATUS_OK && status < STATUS_REDIRECT) {
            return Mono.just(bytes);
        }
        String message = "answered with status " + status;
        return Mono.error(new AcaciafoldException(Failure.unknown(step, address, "unexpected-status", message)));
    }

    /** Returns a body as one buffer: it is sent in one write with its length, while a stream takes a write a chunk. */
    private static Mono<ByteBuf> body(byte[] bytes) {
        return bytes.length == 0 ? Mono.empty() : Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes));
    }

    private static String uri(String address, String path) {
        return "http://" + address + path;
    }

    /**
     * An HTTP answer of any status.
     *
     * @param status the HTTP status
     * @param body the body, empty if there is none
     */
    public record Answer(int status, byte[] body) {}

    /**
     * An HTTP call.
     *
     * @param method the HTTP method
     * @param address the address of the peer, an IP address and a port
     * @param path the path with its query
     * @param headers the headers
     * @param body the body, empty for none
     * @param timeoutMs the timeout of the whole call in milliseconds
     */
    public record Call(
            String method, String address, String path, Map<String, String> headers, byte[] body, long timeoutMs) {}
}
