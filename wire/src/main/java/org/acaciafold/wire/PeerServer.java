package org.acaciafold.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Accepts connections from peer entry hosts, which must prove the cluster secret, and dispatches their messages and
 * requests.
 */
public final class PeerServer {
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
    private static final int LOW_BUFFER_BYTES = 256 * 1024;
    private static final int HIGH_BUFFER_BYTES = 1024 * 1024;
    private static final Duration STOP_POLL = Duration.ofMillis(20);

    /** The send buffer limits of a connection; above the upper one, messages are dropped and bodies pause. */
    static final WriteBufferWaterMark SEND_BUFFER = new WriteBufferWaterMark(LOW_BUFFER_BYTES, HIGH_BUFFER_BYTES);

    private final HostId self;
    private final ClusterSecret secret;
    private final PeerHandler peers;
    private final RelayHandler relays;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile boolean stopping;
    private DisposableServer listener;

    private PeerServer(HostId self, ClusterSecret secret, PeerHandler peers, RelayHandler relays) {
        this.self = self;
        this.secret = secret;
        this.peers = peers;
        this.relays = relays;
    }

    /**
     * Starts to listen for peers.
     *
     * @param address an IP address and a port; port 0 selects a free one
     * @param self the identifier of this host and the secret of its cluster
     * @param counters counts frames and rejected connections
     * @param peers handles messages
     * @param relays handles requests
     * @return the listening server
     * @throws AcaciafoldException if the address cannot be bound or the secret is too short
     */
    public static PeerServer start(
            String address, WireIdentity self, WireCounters counters, PeerHandler peers, RelayHandler relays)
            throws AcaciafoldException {
        return start(address, self, counters, LinkTimings.DEFAULT, peers, relays);
    }

    static PeerServer start(
            String address,
            WireIdentity self,
            WireCounters counters,
            LinkTimings timings,
            PeerHandler peers,
            RelayHandler relays)
            throws AcaciafoldException {
        InetSocketAddress socket = Addresses.parse(address);
        PeerServer server = new PeerServer(self.host(), ClusterSecret.of(self.secret()), peers, relays);
        try {
            server.listener = TcpServer.create()
                    .bindAddress(() -> socket)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, SEND_BUFFER)
                    .doOnConnection(connection -> server.links.add(
                            Link.install(connection, counters, timings, link -> ServerSession.of(link, server))))
                    .bindNow();
        } catch (RuntimeException e) {
            String message = "cannot listen for peers: " + e.getMessage();
            throw new AcaciafoldException(Failure.notRun(Step.SETTINGS, address, "port-in-use", message), e);
        }
        LOG.info("listening for peers on {}", server.address());
        return server;
    }

    /**
     * Returns the address that the server listens on, with the actual port if port 0 was given.
     *
     * @return an IP address and a port
     */
    public String address() {
        return Addresses.format((InetSocketAddress) listener.address());
    }

    /**
     * Returns the number of requests from peers that are in progress.
     *
     * @return the count
     */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Rejects new requests, waits for those in progress and closes all connections.
     *
     * @param limit the maximum wait
     * @return whether requests were still in progress when the wait ended
     */
    public Mono<Boolean> stop(Duration limit) {
        return Mono.defer(() -> {
            stopping = true;
            return Flux.interval(Duration.ZERO, STOP_POLL)
                    .filter(tick -> inProgress.get() == 0)
                    .next()
                    .map(tick -> false)
                    .timeout(limit, Mono.just(true))
                    .flatMap(cut -> closeAll().thenReturn(cut));
        });
    }

    void requestEnded() {
        inProgress.decrementAndGet();
    }

    void removeLink(Link link) {
        links.remove(link);
    }

    PeerHandler peers() {
        return peers;
    }

    RelayHandler relays() {
        return relays;
    }

    ClusterSecret secret() {
        return secret;
    }

    HostId self() {
        return self;
    }

    void requestStarted() {
        inProgress.incrementAndGet();
    }

    boolean stopping() {
        return stopping;
    }

    private Mono<Void> closeAll() {
        listener.dispose();
        List.copyOf(links).forEach(Link::close);
        return listener.onDispose();
    }
}
