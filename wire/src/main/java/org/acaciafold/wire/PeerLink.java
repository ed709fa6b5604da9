package org.acaciafold.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.channel.ChannelOption;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.tcp.TcpClient;

/** The connection to one peer, opened on demand; attempts to reconnect use exponential backoff with jitter. */
final class PeerLink {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long MIN_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 2_000;
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final String address;
    private final Context context;
    private final Queue<byte[]> queuedMessages = new ArrayDeque<>();
    private Sinks.One<ClientSession> attempt;
    private ClientSession session;
    private boolean connecting;
    private long backoffMs;
    private long retryAtMs = Long.MIN_VALUE;
    private long lastUsedMs;
    private boolean closed;

    private PeerLink(String address, Context context) {
        this.address = address;
        this.context = context;
        this.lastUsedMs = context.clock().nowMs();
    }

    static PeerLink of(String address, Context context) {
        return new PeerLink(address, context);
    }

    /** Closes the connection after all pending frames were written. */
    synchronized Mono<Void> close() {
        closed = true;
        if (session == null) {
            return Mono.empty();
        }
        return session.close();
    }

    /** Relays a request over the connection, which is opened first if necessary. */
    Mono<RelayResponse> relay(RelayRequest request) {
        Duration deadline = Duration.ofMillis(request.head().deadlineLeftMs());
        return Mono.defer(this::connected)
                .timeout(deadline, Mono.error(notSent("deadline", "no connection within the deadline")))
                .flatMap(ready -> ready.relay(request));
    }

    /**
     * Sends a message over the connection. While the connection is being opened, up to {@link #MAX_QUEUED_MESSAGES}
     * messages are queued; further ones are dropped.
     */
    void send(byte[] message) {
        if (sendOrQueue(message) && beginConnecting()) {
            connect();
        }
    }

    /** Returns whether nothing was sent since the given time and no connection is open or being opened. */
    synchronized boolean unusedSince(long timeMs) {
        return lastUsedMs < timeMs && session == null && attempt == null;
    }

    private void onReady(ClientSession ready) {
        activate(ready).tryEmitValue(ready);
    }

    private synchronized Sinks.One<ClientSession> activate(ClientSession ready) {
        session = ready;
        backoffMs = 0;
        queuedMessages.forEach(ready::send);
        queuedMessages.clear();
        return attempt;
    }

    private void connect() {
        try {
            InetSocketAddress socket = Addresses.parse(address);
            TcpClient.newConnection()
                    .remoteAddress(() -> socket)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerServer.SEND_BUFFER)
                    .doOnConnected(connection -> Link.install(
                            connection,
                            context.counters(),
                            context.timings(),
                            link -> ClientSession.open(
                                    link, context.self(), context.secret(), this::onReady, this::onDisconnected)))
                    .connect()
                    .subscribe(connection -> {}, error -> onDisconnected(notConnected(error)));
        } catch (AcaciafoldException e) {
            onDisconnected(e.failure());
        }
    }

    private Mono<ClientSession> connected() {
        Optional<Sinks.One<ClientSession>> opening = opening();
        if (opening.isEmpty()) {
            return Mono.error(notSent("peer-unreachable", "the peer could not be reached a moment ago"));
        }
        if (beginConnecting()) {
            connect();
        }
        return opening.get().asMono();
    }

    private synchronized boolean sendOrQueue(byte[] message) {
        lastUsedMs = context.clock().nowMs();
        if (session != null) {
            session.send(message);
            return false;
        }
        if (opening().isPresent() && queuedMessages.size() < MAX_QUEUED_MESSAGES) {
            queuedMessages.add(message);
            return true;
        }
        context.counters().messageDropped();
        return false;
    }

    private void onDisconnected(Failure failure) {
        Sinks.One<ClientSession> ended = resetAttempt();
        if (ended != null) {
            LOG.info("no connection with {}: {}", address, failure.message());
            ended.tryEmitError(notSent(failure.code(), failure.message()));
        }
    }

    private synchronized Sinks.One<ClientSession> resetAttempt() {
        Sinks.One<ClientSession> ended = attempt;
        attempt = null;
        session = null;
        connecting = false;
        backoffMs = Math.clamp(backoffMs * 2, MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        retryAtMs = context.clock().nowMs() + ThreadLocalRandom.current().nextLong(backoffMs / 2, backoffMs + 1);
        queuedMessages.forEach(message -> context.counters().messageDropped());
        queuedMessages.clear();
        return ended;
    }

    /** Returns true once per attempt: to the thread that must connect. */
    private synchronized boolean beginConnecting() {
        boolean must = attempt != null && !connecting;
        connecting = connecting || must;
        return must;
    }

    private Failure notConnected(Throwable error) {
        return Failure.notRun(Step.PEER, address, "peer-unreachable", String.valueOf(error.getMessage()));
    }

    private AcaciafoldException notSent(String code, String message) {
        return new AcaciafoldException(Failure.notRun(Step.PEER, address, code, message));
    }

    /** Returns the connection that is open or being opened, or empty during backoff and after {@link #close}. */
    private synchronized Optional<Sinks.One<ClientSession>> opening() {
        lastUsedMs = context.clock().nowMs();
        if (attempt == null && !closed && lastUsedMs >= retryAtMs) {
            attempt = Sinks.one();
        }
        return Optional.ofNullable(attempt);
    }

    /**
     * The dependencies that all connections of a host share.
     *
     * @param self the identifier of this host
     * @param secret the secret of its cluster
     * @param clock the clock of the process
     * @param counters counts frames and dropped messages
     * @param timings the timeouts of a connection
     */
    record Context(HostId self, ClusterSecret secret, Clock clock, WireCounters counters, LinkTimings timings) {}
}
