package org.acaciafold.wire;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.HostId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.core.publisher.Mono;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerServerTest {
    private static final String SECRET = "a secret of the cluster";
    private static final HostId SELF = HostId.of("server");
    private static final HostId PEER = HostId.of("peer");

    private final WireCounters counters = WireCounters.create();
    private final List<String> messages = new CopyOnWriteArrayList<>();
    private PeerServer server;

    @BeforeEach
    void start() throws Exception {
        PeerHandler peers = (from, bytes) -> messages.add(from + ":" + new String(bytes, StandardCharsets.UTF_8));
        server = PeerServer.start(
                "127.0.0.1:0", new WireIdentity(SELF, SECRET), counters, peers, request -> Mono.never());
    }

    @AfterEach
    void stop() {
        server.stop(Duration.ZERO).block();
    }

    // -- start

    @Test
    void shouldNameTheAddressWhenThePortIsInUse() {
        WireIdentity identity = new WireIdentity(SELF, SECRET);

        AcaciafoldException error = assertThrows(
                AcaciafoldException.class,
                () -> PeerServer.start(server.address(), identity, counters, (f, m) -> {}, r -> Mono.never()));

        assertEquals("port-in-use", error.failure().code());
        assertEquals(server.address(), error.failure().peer());
    }

    @Test
    void shouldRefuseToStartWhenTheSecretIsShort() {
        WireIdentity identity = new WireIdentity(SELF, "short");

        assertThrows(
                AcaciafoldException.class,
                () -> PeerServer.start("127.0.0.1:0", identity, counters, (f, m) -> {}, r -> Mono.never()));
    }

    // -- connections

    @Test
    void shouldDeliverMessagesInOrderWhenThePeerHasProvenTheSecret() throws Exception {
        try (RawPeer peer = RawPeer.connect(server.address())) {
            peer.open(PEER, ClusterSecret.of(SECRET));
            peer.write(message("one"));
            peer.write(message("two"));

            await().until(() -> messages.size() == 2);
        }
        assertEquals(List.of("peer:one", "peer:two"), messages);
        assertEquals(0, counters.rejectedConnections());
    }

    static Stream<Arguments> openings() {
        return Stream.of(
                Arguments.of(
                        "noise",
                        opening(peer -> peer.write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)))),
                Arguments.of("an oversized frame", opening(peer -> peer.write(new byte[] {0x7f, 0, 0, 0, 0}))),
                Arguments.of("an empty frame", opening(peer -> peer.write(new byte[] {0, 0, 0, 0}))),
                Arguments.of(
                        "a head that is too long", opening(peer -> peer.write(new byte[] {0, 0, 0, 5, 0, 0, 9, 9, 1}))),
                Arguments.of("a message before the proof", opening(peer -> peer.write(message("early")))),
                Arguments.of("the wrong secret", opening(peer -> openWithWrongSecret(peer))),
                Arguments.of(
                        "another protocol",
                        opening(peer -> peer.write(Frame.of(new FrameHead.Hello(
                                99, PEER, ClusterSecret.of(SECRET).nonce()))))),
                Arguments.of("a short nonce", opening(PeerServerTest::openWithShortNonce)),
                Arguments.of("the server's own proof", opening(PeerServerTest::openWithReflectedProof)),
                Arguments.of("a malformed frame after the proof", opening(peer -> {
                    peer.open(PEER, ClusterSecret.of(SECRET));
                    peer.write(new byte[] {0, 0, 0, 6, 0, 0, 0, 2, 1, 2});
                })));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("openings")
    void shouldCloseOnlyThatConnectionWhenThePeerViolatesTheProtocol(String name, Opening opening) throws Exception {
        try (RawPeer conforming = RawPeer.connect(server.address());
                RawPeer violating = RawPeer.connect(server.address())) {
            conforming.open(PEER, ClusterSecret.of(SECRET));

            opening.send(violating);

            assertTrue(violating.closedByPeer());
            conforming.write(message("still here"));
            await().until(() -> !messages.isEmpty());
        }
        assertEquals(List.of("peer:still here"), messages);
        assertEquals(1, counters.rejectedConnections());
    }

    @Test
    void shouldRejectTheConnectionWhenItEndsWithinAFrame() throws Exception {
        try (RawPeer peer = RawPeer.connect(server.address())) {
            peer.open(PEER, ClusterSecret.of(SECRET));
            peer.write(message("whole"));
            peer.write(new byte[] {0, 0, 1, 0, 0, 0});
        }

        await().until(() -> counters.rejectedConnections() == 1);
        assertEquals(List.of("peer:whole"), messages);
    }

    @Test
    void shouldRejectTheConnectionWhenTheProofDoesNotArriveInTime() throws Exception {
        PeerServer shortTimeoutServer = PeerServer.start(
                "127.0.0.1:0",
                new WireIdentity(SELF, SECRET),
                counters,
                new LinkTimings(50, 2_000),
                (from, bytes) -> {},
                request -> Mono.never());
        try (RawPeer peer = RawPeer.connect(shortTimeoutServer.address())) {
            assertTrue(peer.closedByPeer());
        }
        assertEquals(1, counters.rejectedConnections());
        shortTimeoutServer.stop(Duration.ZERO).block();
    }

    @Test
    void shouldDropAndCountWhenAFrameBelongsToNoRequest() throws Exception {
        try (RawPeer peer = RawPeer.connect(server.address())) {
            peer.open(PEER, ClusterSecret.of(SECRET));
            peer.write(Frame.of(new FrameHead.End(77, 0)));
            peer.write(message("after"));

            await().until(() -> !messages.isEmpty());
        }
        assertEquals(1, counters.droppedFrames());
    }

    private static Frame message(String text) {
        return new Frame(new FrameHead.Message(), text.getBytes(StandardCharsets.UTF_8));
    }

    private static Opening opening(Opening opening) {
        return opening;
    }

    private static void openWithShortNonce(RawPeer peer) throws Exception {
        byte[] nonce = {1};
        ClusterSecret secret = ClusterSecret.of(SECRET);
        peer.write(Frame.of(new FrameHead.Hello(ClientSession.PROTOCOL, PEER, nonce)));
        FrameHead.Welcome welcome = (FrameHead.Welcome) peer.read().head();
        ClusterSecret.Handshake handshake = new ClusterSecret.Handshake(PEER, nonce, SELF, welcome.nonce());
        peer.write(Frame.of(new FrameHead.Proof(secret.prove(ClusterSecret.Side.CONNECTING, handshake))));
    }

    private static void openWithWrongSecret(RawPeer peer) throws Exception {
        peer.open(PEER, ClusterSecret.of("not the secret of the cluster"));
    }

    private static void openWithReflectedProof(RawPeer peer) throws Exception {
        peer.write(Frame.of(new FrameHead.Hello(
                ClientSession.PROTOCOL, PEER, ClusterSecret.of(SECRET).nonce())));
        FrameHead.Welcome welcome = (FrameHead.Welcome) peer.read().head();
        peer.write(Frame.of(new FrameHead.Proof(welcome.proof())));
    }

    /** The bytes that a peer sends in violation of the protocol. */
    interface Opening {
        void send(RawPeer peer) throws Exception;
    }
}
