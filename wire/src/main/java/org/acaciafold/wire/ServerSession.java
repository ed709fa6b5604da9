package org.acaciafold.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;

/** The accepting side of a connection: verifies the cluster secret and dispatches messages and requests. */
final class ServerSession implements LinkListener {
    private static final int MAX_STREAMS = 4_096;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Link link;
    private final PeerServer server;
    private final Map<Long, ServerStream> streams = new HashMap<>();
    private ClusterSecret.Handshake handshake;
    private HostId peer;
    private long lastStream;

    private ServerSession(Link link, PeerServer server) {
        this.link = link;
        this.server = server;
    }

    static ServerSession of(Link link, PeerServer server) {
        return new ServerSession(link, server);
    }

    @Override
    public void onClosed(Failure failure) {
        List.copyOf(streams.values()).forEach(stream -> stream.abort(failure));
        server.removeLink(link);
    }

    @Override
    public void onFrame(Frame frame) throws AcaciafoldException {
        if (peer == null) {
            handleHandshake(frame.head());
            return;
        }
        switch (frame.head()) {
            case FrameHead.Message ignored -> server.peers().receive(peer, frame.payload());
            case FrameHead.RequestHead request -> answer(request);
            case FrameHead.Chunk head -> deliver(head.stream(), frame);
            case FrameHead.End head -> deliver(head.stream(), frame);
            case FrameHead.Reset head -> deliver(head.stream(), frame);
            case FrameHead.Credit head -> deliver(head.stream(), frame);
            case FrameHead.Hello head -> throw unexpected(head);
            case FrameHead.Welcome head -> throw unexpected(head);
            case FrameHead.Proof head -> throw unexpected(head);
            case FrameHead.ResponseHead head -> throw unexpected(head);
            case FrameHead.Ping head -> throw unexpected(head);
            case FrameHead.Pong head -> throw unexpected(head);
        }
    }

    @Override
    public void onWritable() {
        List.copyOf(streams.values()).forEach(ServerStream::onWritable);
    }

    private void answer(FrameHead.RequestHead request) throws AcaciafoldException {
        if (request.head() == null || request.stream() <= lastStream) {
            throw unexpected(request);
        }
        lastStream = request.stream();
        if (server.stopping()) {
            reject(request, "stopping", "the entry host is stopping");
        } else if (streams.size() >= MAX_STREAMS) {
            reject(request, "peer-busy", "too many requests on one connection");
        } else {
            start(request);
        }
    }

    private void deliver(long id, Frame frame) throws AcaciafoldException {
        ServerStream stream = streams.get(id);
        if (stream == null) {
            link.countDroppedFrame();
        } else {
            stream.onFrame(frame);
        }
    }

    private void handleHandshake(FrameHead head) throws AcaciafoldException {
        if (handshake == null && head instanceof FrameHead.Hello hello) {
            handleHello(hello);
        } else if (handshake != null && head instanceof FrameHead.Proof proof) {
            verifyProof(proof);
        } else {
            throw unexpected(head);
        }
    }

    private void verifyProof(FrameHead.Proof proof) throws AcaciafoldException {
        if (!server.secret().verify(ClusterSecret.Side.CONNECTING, handshake, proof.proof())) {
            throw new AcaciafoldException(link.failure("wrong-secret", "the peer does not know the cluster secret"));
        }
        link.proven();
        peer = handshake.connecting();
    }

    private void reject(FrameHead.RequestHead request, String code, String message) {
        Failure failure = Failure.notRun(Step.PEER, server.self().value(), code, message);
        RelayStatus status =
                new RelayStatus(request.head().requestId(), STATUS_UNAVAILABLE, List.of(), Optional.of(failure));
        link.send(Frame.of(new FrameHead.ResponseHead(request.stream(), status)));
        link.send(Frame.of(new FrameHead.End(request.stream(), 0)));
    }

    private void start(FrameHead.RequestHead request) {
        long id = request.stream();
        server.requestStarted();
        ServerStream stream = ServerStream.of(link, id, () -> {
            streams.remove(id);
            server.requestEnded();
        });
        streams.put(id, stream);
        stream.handle(request.head(), server.relays());
    }

    private AcaciafoldException unexpected(FrameHead head) {
        String kind = head.getClass().getSimpleName();
        return new AcaciafoldException(link.failure("unexpected-frame", "a frame " + kind + " was not expected"));
    }

    private void handleHello(FrameHead.Hello hello) throws AcaciafoldException {
        if (hello.protocol() != ClientSession.PROTOCOL || hello.host() == null || hello.nonce() == null) {
            throw new AcaciafoldException(link.failure("protocol", "the peer speaks another protocol"));
        }
        handshake = new ClusterSecret.Handshake(
                hello.host(), hello.nonce(), server.self(), server.secret().nonce());
        byte[] proof = server.secret().prove(ClusterSecret.Side.ACCEPTING, handshake);
        link.send(Frame.of(new FrameHead.Welcome(server.self(), handshake.acceptingNonce(), proof)));
    }
}
