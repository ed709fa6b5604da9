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

/** Listens for peer entry hosts, which must prove the cluster secret, takes their messages and answers their requests. */
public final class PeerServer {
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
    private static final int LOW_BUFFER_BYTES = 256 * 1024;
    private static final int HIGH_BUFFER_BYTES = 1024 * 1024;
    private static final Duration STOP_POLL = Duration.ofMillis(20);

    /** How much a connection buffers before one-way messages are dropped and bodies wait. */
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
     * Listens.
     *
     * @param address an IP number and a port, port 0 for any free one
     * @param self this host and the secret of its cluster
     * @param counters where frames and rejected peers are counted
     * @param peers takes messages
     * @param relays answers requests
     * @return the listening server
     * @throws AcaciafoldException when the address cannot be listened on or the secret is too short
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
                            Link.attach(connection, counters, timings, link -> ServerSession.of(link, server))))
                    .bindNow();
        } catch (RuntimeException e) {
            String message = "cannot listen for peers: " + e.getMessage();
            throw new AcaciafoldException(Failure.notRun(Step.SETTINGS, address, "port-in-use", message), e);
        }
        LOG.info("peers on {}", server.address());
        return server;
    }

    /**
     * Returns the address, with the port that was chosen when the given one was 0.
     *
     * @return an IP number and a port
     */
    public String address() {
        return Addresses.format((InetSocketAddress) listener.address());
    }

    /**
     * Returns how many requests of peers are in progress.
     *
     * @return the count
     */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Refuses new requests, waits for those in progress and closes.
     *
     * @param limit the longest wait
     * @return whether requests were cut
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

    void ended() {
        inProgress.decrementAndGet();
    }

    void left(Link link) {
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

    void started() {
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
