package org.acaciafold.wire;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A transport over TCP that keeps one connection per peer, opened on first use.
 *
 * <p>Example: {@code TcpPeerTransport.create(identity, Clock.system(), WireCounters.create()).send(address, bytes)}.
 */
public final class TcpPeerTransport implements PeerTransport {
    private static final long EVICT_UNUSED_AFTER_MS = 600_000;

    private final PeerLink.Context context;
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private TcpPeerTransport(PeerLink.Context context) {
        this.context = context;
    }

    /**
     * Creates a transport without connections.
     *
     * @param self the identifier of this host and the secret of its cluster
     * @param clock the clock of the process
     * @param counters counts frames and dropped messages
     * @return the transport
     * @throws AcaciafoldException if the secret is too short
     */
    public static TcpPeerTransport create(WireIdentity self, Clock clock, WireCounters counters)
            throws AcaciafoldException {
        return create(self, clock, counters, LinkTimings.DEFAULT);
    }

    static TcpPeerTransport create(WireIdentity self, Clock clock, WireCounters counters, LinkTimings timings)
            throws AcaciafoldException {
        return new TcpPeerTransport(
                new PeerLink.Context(self.host(), ClusterSecret.of(self.secret()), clock, counters, timings));
    }

    @Override
    public Mono<Void> close() {
        return Mono.defer(() -> {
            closed = true;
            return Flux.fromIterable(links.values()).flatMap(PeerLink::close).then();
        });
    }

    @Override
    public Mono<RelayResponse> relay(String address, RelayRequest request) {
        return Mono.defer(() -> link(address).relay(request));
    }

    @Override
    public void send(String address, byte[] message) {
        if (closed) {
            context.counters().messageDropped();
            return;
        }
        link(address).send(message);
    }

    private PeerLink link(String address) {
        PeerLink existing = links.get(address);
        if (existing != null) {
            return existing;
        }
        long nowMs = context.clock().nowMs();
        links.values().removeIf(link -> link.unusedSince(nowMs - EVICT_UNUSED_AFTER_MS));
        return links.computeIfAbsent(address, a -> PeerLink.of(a, context));
    }
}
