package org.acaciafold.cli;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.timeout.ReadTimeoutException;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Step;
import org.acaciafold.settings.Addresses;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Calls the HTTP interfaces of entry hosts, in turn until one answers. */
final class HostClient {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration PAUSE = Duration.ofMillis(200);
    private static final String NO_OUTCOME = "";

    private final List<String> hosts;
    private final String key;
    private final Duration timeout;
    private final HttpClient http;

    private HostClient(List<String> hosts, String key, Duration timeout) {
        this.hosts = hosts;
        this.key = key;
        this.timeout = timeout;
        this.http = HttpClient.newConnection()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .responseTimeout(CALL_TIMEOUT);
    }

    /**
     * Creates a client.
     *
     * @param hosts the hosts to try, each an IP number and a port
     * @param key the key to present
     * @param timeout the time limit of a command that polls
     * @return the client
     */
    static HostClient of(List<String> hosts, String key, Duration timeout) {
        return new HostClient(List.copyOf(hosts), key, timeout);
    }

    /** Returns the time limit of a command that polls. */
    Duration timeout() {
        return timeout;
    }

    /** Sends a GET request. */
    HostReply get(String path) throws CommandException {
        return call(HostRequest.of(HttpMethod.GET, path).repeatable());
    }

    /**
     * Sends a request. A repeatable request is tried on all hosts; any other request moves to the next host only while
     * it is certain that it has not run.
     *
     * @param request the request
     * @return the answer, which may be an error
     * @throws CommandException if no host answered
     */
    HostReply call(HostRequest request) throws CommandException {
        CommandException lastError = new CommandException(ExitCode.USAGE, "no host was given");
        HostReply lastReply = null;
        boolean mayHaveRun = false;
        for (String host : hosts) {
            try {
                HostReply reply = send(host, request);
                if (!reply.mayRetryOnOtherHost()) {
                    return reply;
                }
                lastReply = reply;
                mayHaveRun |= reply.exitCode() == ExitCode.UNKNOWN;
            } catch (CommandException e) {
                lastError = e;
                mayHaveRun |= e.exitCode() == ExitCode.UNKNOWN;
            }
            if (mayHaveRun && !request.isRepeatable()) {
                break;
            }
        }
        if (lastReply != null && (!mayHaveRun || lastReply.exitCode() == ExitCode.UNKNOWN)) {
            return lastReply;
        }
        throw mayHaveRun ? new CommandException(ExitCode.UNKNOWN, lastError.getMessage(), lastError) : lastError;
    }

    /** Decodes the body of an answer. */
    static <T> T decode(HostReply reply, Class<T> type) throws CommandException {
        try {
            return Codec.json().decode(reply.body(), type, Step.RESPONSE, reply.host());
        } catch (AcaciafoldException e) {
            throw new CommandException(ExitCode.UNKNOWN, e.getMessage(), e);
        }
    }

    /** Waits before the next poll. */
    static void pause() {
        Mono.delay(PAUSE).block();
    }

    private HostReply send(String host, HostRequest request) throws CommandException {
        InetSocketAddress address = Addresses.parse(host)
                .orElseThrow(() -> new CommandException(ExitCode.USAGE, host + " is not an IP number and a port"));
        try {
            HostReply reply = http.remoteAddress(() -> address)
                    .headers(headers -> headers(headers, request))
                    .request(request.method())
                    .uri(request.path())
                    .send((sending, outbound) ->
                            outbound.sendObject(Mono.justOrEmpty(request.body()).map(HostClient::buffer)))
                    .responseSingle((response, body) -> reply(host, response, body))
                    .block(CALL_TIMEOUT.plusMillis(CONNECT_TIMEOUT_MS));
            if (reply == null) {
                throw new CommandException(ExitCode.UNKNOWN, host + " closed the connection without an answer");
            }
            return reply;
        } catch (RuntimeException e) {
            boolean neverSent = causedBy(e, ConnectException.class);
            String problem = neverSent ? " cannot be reached: " : " did not answer: ";
            ExitCode code = neverSent || request.method().equals(HttpMethod.GET) ? ExitCode.NOT_RUN : ExitCode.UNKNOWN;
            throw new CommandException(code, host + problem + describe(e), e);
        }
    }

    private static ByteBuf buffer(String body) {
        return Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    }

    private static boolean causedBy(Throwable error, Class<? extends Throwable> type) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (type.isInstance(cause)) {
                return true;
            }
        }
        return false;
    }

    private static String describe(RuntimeException error) {
        boolean timedOut = causedBy(error, ReadTimeoutException.class) || error instanceof IllegalStateException;
        return timedOut ? "no response within " + CALL_TIMEOUT.toSeconds() + " s" : String.valueOf(error.getMessage());
    }

    private void headers(HttpHeaders headers, HostRequest request) {
        headers.set("Authorization", "Bearer " + key);
        request.headers().forEach(headers::set);
        int length = request.body()
                .map(body -> body.getBytes(StandardCharsets.UTF_8).length)
                .orElse(0);
        if (!request.method().equals(HttpMethod.GET)) {
            headers.set("Content-Length", length);
        }
    }

    private static Mono<HostReply> reply(String host, HttpClientResponse response, ByteBufMono body) {
        String outcome = Optional.ofNullable(response.responseHeaders().get("Acaciafold-Outcome"))
                .orElse(NO_OUTCOME);
        return body.asByteArray()
                .defaultIfEmpty(new byte[0])
                .map(bytes -> new HostReply(host, response.status().code(), outcome, bytes));
    }
}
