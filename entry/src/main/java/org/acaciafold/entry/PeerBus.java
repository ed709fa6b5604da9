package org.acaciafold.entry;

import java.time.Duration;
import java.util.Collection;
import java.util.function.BiConsumer;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.acaciafold.settings.EntrySettings;
import org.acaciafold.wire.PeerServer;
import org.acaciafold.wire.TcpPeerTransport;
import org.acaciafold.wire.WireCounters;
import org.acaciafold.wire.WireIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/** Sends and receives messages between entry hosts. Messages may be lost; every exchange recovers from a loss. */
final class PeerBus {
    private static final Logger LOG = LoggerFactory.getLogger(PeerBus.class);
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(300);

    private final String ownAddress;
    private final HostEventLoop loop;
    private final TcpPeerTransport transport;
    private final BiConsumer<String, PeerMessage> receiver;
    private PeerServer server;

    private PeerBus(
            String ownAddress,
            HostEventLoop loop,
            TcpPeerTransport transport,
            BiConsumer<String, PeerMessage> receiver) {
        this.ownAddress = ownAddress;
        this.loop = loop;
        this.transport = transport;
        this.receiver = receiver;
    }

    /**
     * Starts the listener for peers.
     *
     * @param settings the host's settings
     * @param loop the event loop on which the receiver is called
     * @param receiver receives the sender's name and the message
     * @return the bus
     * @throws AcaciafoldException when the address cannot be listened on
     */
    static PeerBus start(EntrySettings settings, HostEventLoop loop, BiConsumer<String, PeerMessage> receiver)
            throws AcaciafoldException {
        WireIdentity identity = new WireIdentity(HostId.of(settings.host()), settings.secret());
        WireCounters counters = WireCounters.create();
        TcpPeerTransport transport = TcpPeerTransport.create(identity, Clock.system(), counters);
        PeerBus bus = new PeerBus(settings.advertisedPeers(), loop, transport, receiver);
        bus.server = PeerServer.start(
                settings.peers(),
                identity,
                counters,
                bus::receive,
                request -> Mono.error(new AcaciafoldException(
                        Failure.notRun(Step.PEER, settings.host(), "no-relays", "this host relays no requests"))));
        return bus;
    }

    void send(String address, PeerMessage message) {
        if (!address.equals(ownAddress)) {
            transport.send(address, Codec.messagePack().encode(message, PeerMessage.class));
        }
    }

    void sendAll(Collection<String> addresses, PeerMessage message) {
        byte[] bytes = Codec.messagePack().encode(message, PeerMessage.class);
        for (String address : addresses) {
            if (!address.equals(ownAddress)) {
                transport.send(address, bytes);
            }
        }
    }

    void close() {
        server.stop(Duration.ZERO).timeout(CLOSE_TIMEOUT, Mono.just(true)).block();
        transport.close().timeout(CLOSE_TIMEOUT, Mono.empty()).block();
    }

    private void receive(HostId from, byte[] bytes) {
        try {
            PeerMessage message = Codec.messagePack().decode(bytes, PeerMessage.class, Step.PEER, from.value());
            loop.execute(() -> receiver.accept(from.value(), message));
        } catch (AcaciafoldException e) {
            LOG.warn("message from {} cannot be decoded: {}", from, e.getMessage());
        }
    }
}
