package org.acaciafold.wire;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;

import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BrokenPeerTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final String SECRET = TestRelays.SECRET;
    private static final HostId SERVER = HostId.of("server");

    private final WireCounters counters = WireCounters.create();
    private TcpPeerTransport transport;

    @BeforeEach
    void start() throws Exception {
        transport = TcpPeerTransport.create(new WireIdentity(HostId.of("client"), SECRET), Clock.system(), counters);
    }

    @AfterEach
    void stop() {
        transport.close().block(LIMIT);
    }

    // -- relay

    @Test
    void shouldMatchResponsesByStreamAndCorrelationIdWhenTheyAreSwapped() throws Exception {
        try (ServerSocket socket = serverSocket()) {
            Mono<String> first = rawRelay(socket, "first").cache();
            Mono<String> second = rawRelay(socket, "second").cache();
            first.subscribe();
            second.subscribe();
            try (RawPeer peer = RawPeer.accept(socket)) {
                peer.welcome(SERVER, ClusterSecret.of(SECRET));
                FrameHead.RequestHead a = peer.readRequest();
                FrameHead.RequestHead b = peer.readRequest();

                respond(peer, a.stream(), b.head().requestId());
                respond(peer, 99, a.head().requestId());
                respond(peer, b.stream(), b.head().requestId());
                respond(peer, a.stream(), a.head().requestId());
                respond(peer, a.stream(), a.head().requestId());

                assertEquals("first", first.block(LIMIT));
                assertEquals("second", second.block(LIMIT));
            }
            await().until(() -> counters.droppedFrames() == 9);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 4, 6})
    void shouldFailTheBodyWhenItsLengthDiffers(long declaredLength) throws Exception {
        try (ServerSocket socket = serverSocket()) {
            Mono<String> call = rawRelay(socket, "cut").cache();
            call.subscribe(text -> {}, error -> {});
            try (RawPeer peer = RawPeer.accept(socket)) {
                peer.welcome(SERVER, ClusterSecret.of(SECRET));
                FrameHead.RequestHead request = peer.readRequest();
                peer.write(Frame.of(new FrameHead.ResponseHead(request.stream(), TestRelays.status("cut"))));
                peer.write(new Frame(new FrameHead.Chunk(request.stream()), new byte[5]));
                peer.write(Frame.of(new FrameHead.End(request.stream(), declaredLength)));

                Throwable error = assertThrows(RuntimeException.class, () -> call.block(LIMIT));

                assertEquals(
                        "body-cut", TestRelays.failure(Exceptions.unwrap(error)).code());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldReportAnUnknownOutcomeWhenTheConnectionIsLostAfterTheRequestWasSent(boolean midBody) throws Exception {
        try (ServerSocket socket = serverSocket()) {
            Mono<String> call = rawRelay(socket, "lost").cache();
            call.subscribe(text -> {}, error -> {});
            try (RawPeer peer = RawPeer.accept(socket)) {
                peer.welcome(SERVER, ClusterSecret.of(SECRET));
                FrameHead.RequestHead request = peer.readRequest();
                if (midBody) {
                    peer.write(Frame.of(new FrameHead.ResponseHead(request.stream(), TestRelays.status("lost"))));
                    peer.write(new Frame(new FrameHead.Chunk(request.stream()), new byte[5]));
                }
            }
            Throwable error = assertThrows(RuntimeException.class, () -> call.block(LIMIT));

            assertEquals(
                    Outcome.UNKNOWN,
                    TestRelays.failure(Exceptions.unwrap(error)).outcome());
        }
    }

    @Test
    void shouldSendNothingWhenThePeerDoesNotProveTheSecret() throws Exception {
        try (ServerSocket socket = serverSocket()) {
            Mono<String> call = rawRelay(socket, "unsent").cache();
            call.subscribe(text -> {}, error -> {});
            try (RawPeer peer = RawPeer.accept(socket)) {
                peer.welcome(SERVER, ClusterSecret.of("not the secret of the cluster"));

                assertTrue(peer.closedByPeer());
            }
            Throwable error = assertThrows(RuntimeException.class, () -> call.block(LIMIT));

            assertEquals(
                    Outcome.NOT_RUN,
                    TestRelays.failure(Exceptions.unwrap(error)).outcome());
            assertEquals(
                    "wrong-secret", TestRelays.failure(Exceptions.unwrap(error)).code());
        }
    }

    @Test
    void shouldCloseTheConnectionWhenThePeerIsUnresponsive() throws Exception {
        TcpPeerTransport shortTimeoutTransport = TcpPeerTransport.create(
                new WireIdentity(HostId.of("client"), SECRET), Clock.system(), counters, new LinkTimings(5_000, 50));
        try (ServerSocket socket = serverSocket()) {
            String address = "127.0.0.1:" + socket.getLocalPort();
            Mono<RelayResponse> call = shortTimeoutTransport
                    .relay(address, new RelayRequest(TestRelays.head("silent"), Flux.empty()))
                    .cache();
            call.subscribe(response -> {}, error -> {});
            try (RawPeer peer = RawPeer.accept(socket)) {
                peer.welcome(SERVER, ClusterSecret.of(SECRET));
                peer.readRequest();

                Throwable error = assertThrows(RuntimeException.class, () -> call.block(LIMIT));

                assertEquals(
                        "peer-silent",
                        TestRelays.failure(Exceptions.unwrap(error)).code());
                assertTrue(peer.closedByPeer());
            }
        }
        shortTimeoutTransport.close().block(LIMIT);
    }

    private Mono<String> rawRelay(ServerSocket socket, String id) {
        return TestRelays.relay(transport, "127.0.0.1:" + socket.getLocalPort(), id, "");
    }

    private static void respond(RawPeer peer, long stream, String id) throws Exception {
        peer.write(Frame.of(new FrameHead.ResponseHead(stream, TestRelays.status(id))));
        peer.write(new Frame(new FrameHead.Chunk(stream), TestRelays.text(id)));
        peer.write(Frame.of(new FrameHead.End(stream, id.length())));
    }

    private static ServerSocket serverSocket() throws Exception {
        return new ServerSocket(0, 5, InetAddress.ofLiteral("127.0.0.1"));
    }
}
