package org.acaciafold.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/** The connecting side of a connection: proves the cluster secret, sends messages and relays requests. */
final class ClientSession implements LinkListener {
    /** The version of the protocol between entry hosts. */
    static final int PROTOCOL = 1;

    private final Link link;
    private final HostId self;
    private final ClusterSecret secret;
    private final Consumer<ClientSession> readyCallback;
    private final Consumer<Failure> closedCallback;
    private final byte[] nonce;
    private final Map<Long, ClientStream> streams = new HashMap<>();
    private final Sinks.Empty<Void> ended = Sinks.empty();
    private long lastStream;
    private boolean ready;

    private ClientSession(
            Link link,
            HostId self,
            ClusterSecret secret,
            Consumer<ClientSession> readyCallback,
            Consumer<Failure> closedCallback) {
        this.link = link;
        this.self = self;
        this.secret = secret;
        this.readyCallback = readyCallback;
        this.closedCallback = closedCallback;
        this.nonce = secret.nonce();
    }

    /**
     * Opens a session over a new connection.
     *
     * @param link the connection
     * @param self the identifier of this host
     * @param secret the cluster secret
     * @param readyCallback runs when both sides have proven the cluster secret
     * @param closedCallback runs once when the connection has ended
     * @return the session
     */
    static ClientSession open(
            Link link,
            HostId self,
            ClusterSecret secret,
            Consumer<ClientSession> readyCallback,
            Consumer<Failure> closedCallback) {
        ClientSession session = new ClientSession(link, self, secret, readyCallback, closedCallback);
        FrameHead hello = new FrameHead.Hello(PROTOCOL, self, session.nonce);
        link.execute(() -> link.send(Frame.of(hello)));
        return session;
    }

    @Override
    public void onClosed(Failure failure) {
        List.copyOf(streams.values()).forEach(stream -> stream.onClosed(failure));
        closedCallback.accept(failure);
        ended.tryEmitEmpty();
    }

    @Override
    public void onFrame(Frame frame) throws AcaciafoldException {
        if (!ready) {
            handleWelcome(frame);
            return;
        }
        switch (frame.head()) {
            case FrameHead.ResponseHead head -> deliver(head.stream(), frame);
            case FrameHead.Chunk head -> deliver(head.stream(), frame);
            case FrameHead.End head -> deliver(head.stream(), frame);
            case FrameHead.Reset head -> deliver(head.stream(), frame);
            case FrameHead.Credit head -> deliver(head.stream(), frame);
            case FrameHead.Hello h -> throw unexpected(h);
            case FrameHead.Welcome h -> throw unexpected(h);
            case FrameHead.Proof h -> throw unexpected(h);
            case FrameHead.Message h -> throw unexpected(h);
            case FrameHead.RequestHead h -> throw unexpected(h);
            case FrameHead.Ping h -> throw unexpected(h);
            case FrameHead.Pong h -> throw unexpected(h);
        }
    }

    @Override
    public void onWritable() {
        List.copyOf(streams.values()).forEach(ClientStream::onWritable);
    }

    /** Closes the connection after all pending frames were written. */
    Mono<Void> close() {
        link.close();
        return ended.asMono();
    }

    /**
     * Relays a request.
     *
     * @param request the request
     * @return the response
     */
    Mono<RelayResponse> relay(RelayRequest request) {
        return Mono.create(sink -> {
            Exchange exchange = new Exchange(request, sink);
            sink.onCancel(() -> link.execute(exchange::cancel));
            link.execute(exchange::start);
        });
    }

    /** Sends a message; drops and counts it if the send buffer is full. */
    void send(byte[] message) {
        link.execute(() -> {
            if (!link.writable() || !link.send(new Frame(new FrameHead.Message(), message))) {
                link.countDroppedMessage();
            }
        });
    }

    private void deliver(long id, Frame frame) throws AcaciafoldException {
        ClientStream stream = streams.get(id);
        if (stream == null) {
            link.countDroppedFrame();
        } else {
            stream.onFrame(frame);
        }
    }

    private void handleWelcome(Frame frame) throws AcaciafoldException {
        if (!(frame.head() instanceof FrameHead.Welcome welcome)) {
            throw unexpected(frame.head());
        }
        ClusterSecret.Handshake handshake = new ClusterSecret.Handshake(self, nonce, welcome.host(), welcome.nonce());
        if (!secret.verify(ClusterSecret.Side.ACCEPTING, handshake, welcome.proof())) {
            throw new AcaciafoldException(link.failure("wrong-secret", "the peer does not know the cluster secret"));
        }
        link.proven();
        link.send(Frame.of(new FrameHead.Proof(secret.prove(ClusterSecret.Side.CONNECTING, handshake))));
        ready = true;
        readyCallback.accept(this);
    }

    private AcaciafoldException unexpected(FrameHead head) {
        String kind = head.getClass().getSimpleName();
        return new AcaciafoldException(link.failure("unexpected-frame", "a frame " + kind + " was not expected"));
    }

    /** A request from its creation until its response arrives; it may be cancelled before it is sent. */
    private final class Exchange {
        private final RelayRequest request;
        private final MonoSink<RelayResponse> sink;
        private ClientStream stream;
        private boolean cancelled;

        private Exchange(RelayRequest request, MonoSink<RelayResponse> sink) {
            this.request = request;
            this.sink = sink;
        }

        private void cancel() {
            cancelled = true;
            if (stream != null) {
                stream.cancel();
            }
        }

        private void start() {
            if (cancelled) {
                return;
            }
            if (!link.open()) {
                sink.error(new AcaciafoldException(notSent()));
                return;
            }
            long id = ++lastStream;
            ClientStream started = ClientStream.start(link, id, request, sink, () -> streams.remove(id));
            if (!started.done()) {
                streams.put(id, started);
            }
            stream = started;
        }

        private Failure notSent() {
            return link.notSent("connection-closed", "the connection was closed before the request was sent");
        }
    }
}
