package org.acaciafold.wire;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.StepVerifier;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TcpPeerTransportTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final String SECRET = TestRelays.SECRET;
    private static final HostId SERVER = HostId.of("server");

    private final WireCounters counters = WireCounters.create();
    private final List<String> messages = new CopyOnWriteArrayList<>();
    private volatile RelayHandler handler = TcpPeerTransportTest::echo;
    private TcpPeerTransport transport;
    private PeerServer server;

    @BeforeEach
    void start() throws Exception {
        transport = TcpPeerTransport.create(new WireIdentity(HostId.of("client"), SECRET), Clock.system(), counters);
        server = PeerServer.start(
                "127.0.0.1:0",
                new WireIdentity(SERVER, SECRET),
                counters,
                (from, bytes) -> messages.add(new String(bytes, StandardCharsets.UTF_8)),
                request -> handler.handle(request));
    }

    @AfterEach
    void stop() {
        transport.close().block(LIMIT);
        server.stop(Duration.ZERO).block(LIMIT);
    }

    // -- relay

    @Test
    void shouldReturnTheWholeResponseOfEachRequestWhenManyAreInProgress() {
        List<String> bodies = Flux.range(0, 200)
                .flatMap(i -> relayText("r" + i, "body of " + i), 200)
                .collectList()
                .block(LIMIT);

        List<String> expected = IntStream.range(0, 200)
                .mapToObj(i -> "r" + i + ":body of " + i)
                .sorted()
                .toList();
        assertEquals(expected, bodies.stream().sorted().toList());
    }

    @Test
    void shouldRelayBodiesThatAreLargerThanTheWindow() {
        byte[] part = new byte[300_000];
        Flux<byte[]> body = Flux.range(0, 20).map(i -> part);

        Long length = transport
                .relay(server.address(), new RelayRequest(TestRelays.head("large"), body))
                .flatMapMany(RelayResponse::body)
                .map(bytes -> (long) bytes.length)
                .reduce(0L, Long::sum)
                .block(LIMIT);

        assertEquals(20L * part.length, length);
    }

    @Test
    void shouldRequestNoMoreFromTheSourceWhenTheConsumerDoesNotRead() {
        AtomicLong requested = new AtomicLong();
        byte[] part = new byte[64 * 1024];
        Flux<byte[]> endless =
                Flux.<byte[]>generate(sink -> sink.next(part)).doOnNext(bytes -> requested.addAndGet(bytes.length));
        handler = request -> Mono.just(new RelayResponse(TestRelays.status("stalled"), endless));

        RelayResponse response = transport
                .relay(server.address(), new RelayRequest(TestRelays.head("stalled"), Flux.empty()))
                .block(LIMIT);
        handler = TcpPeerTransportTest::echo;
        String other = relayBlocking("other");

        long window = BodyReceiver.WINDOW_BYTES;
        await().until(() -> requested.get() >= window);
        assertTrue(requested.get() <= window + part.length, "asked for " + requested.get());
        assertEquals(0, counters.rejectedConnections());
        assertTrue(other.startsWith("other"));
        response.body().subscribe().dispose();
    }

    @Test
    void shouldCancelTheHandlerWhenTheCallerCancels() {
        AtomicBoolean cancelled = new AtomicBoolean();
        handler = request -> Mono.<RelayResponse>never().doOnCancel(() -> cancelled.set(true));
        Disposable call = transport
                .relay(server.address(), new RelayRequest(TestRelays.head("gone"), Flux.empty()))
                .subscribe();
        await().until(() -> server.inProgress() == 1);

        call.dispose();

        await().untilTrue(cancelled);
        await().until(() -> server.inProgress() == 0);
    }

    @Test
    void shouldCancelTheResponseBodyWhenItsReaderCancels() {
        AtomicBoolean cancelled = new AtomicBoolean();
        handler = request -> Mono.just(new RelayResponse(
                TestRelays.status(request.head().requestId()),
                Flux.just(new byte[10]).concatWith(Flux.never()).doOnCancel(() -> cancelled.set(true))));

        transport
                .relay(server.address(), new RelayRequest(TestRelays.head("gone"), Flux.empty()))
                .flatMapMany(RelayResponse::body)
                .blockFirst(LIMIT);

        await().untilTrue(cancelled);
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenTheHandlerFails() {
        handler = request ->
                Mono.error(new AcaciafoldException(Failure.notRun(Step.WORKER, "w1", "worker-failed", "it broke")));

        Failure failure = relayFailure("failing");

        assertEquals("worker-failed", failure.code());
        assertEquals(Outcome.UNKNOWN, failure.outcome());
    }

    @Test
    void shouldFailTheBodyWhenItsSourceFailsMidway() {
        handler = request -> Mono.just(new RelayResponse(
                TestRelays.status(request.head().requestId()),
                Flux.just(new byte[10]).concatWith(Flux.error(new IllegalStateException("cut")))));

        Flux<byte[]> body = transport
                .relay(server.address(), new RelayRequest(TestRelays.head("cut"), Flux.empty()))
                .flatMapMany(RelayResponse::body);

        StepVerifier.create(body)
                .expectNextCount(1)
                .expectErrorSatisfies(error ->
                        assertEquals(Outcome.UNKNOWN, TestRelays.failure(error).outcome()))
                .verify(LIMIT);
    }

    @Test
    void shouldFailTheRequestBodyAtThePeerWhenTheCallerAbortsIt() {
        Sinks.One<Throwable> seen = Sinks.one();
        handler = request -> request.body().doOnError(seen::tryEmitValue).then(Mono.never());
        Flux<byte[]> body = Flux.just(new byte[5]).concatWith(Flux.error(new IllegalStateException("caller left")));

        StepVerifier.create(transport.relay(server.address(), new RelayRequest(TestRelays.head("cut"), body)))
                .expectErrorSatisfies(error ->
                        assertEquals("request-cut", TestRelays.failure(error).code()))
                .verify(LIMIT);

        assertEquals(
                "request-cut", TestRelays.failure(seen.asMono().block(LIMIT)).code());
    }

    @Test
    void shouldFailWithAnUnknownOutcomeWhenTheDeadlinePasses() {
        handler = request -> Mono.never();
        RelayHead head = TestRelays.head("late", 100);

        StepVerifier.create(transport.relay(server.address(), new RelayRequest(head, Flux.empty())))
                .expectErrorSatisfies(error ->
                        assertEquals(Outcome.UNKNOWN, TestRelays.failure(error).outcome()))
                .verify(LIMIT);
    }

    @Test
    void shouldReportNotRunWhenThePeerIsUnreachable() throws Exception {
        String unused;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"))) {
            unused = "127.0.0.1:" + socket.getLocalPort();
        }
        Mono<RelayResponse> call = transport.relay(unused, new RelayRequest(TestRelays.head("unsent"), Flux.empty()));

        for (int attempt = 0; attempt < 2; attempt++) {
            StepVerifier.create(call)
                    .expectErrorSatisfies(error -> assertEquals(
                            Outcome.NOT_RUN, TestRelays.failure(error).outcome()))
                    .verify(LIMIT);
        }
    }

    @Test
    void shouldReportNotRunWhenThePeerIsStopping() {
        handler = request -> Mono.never();
        Disposable pending = transport
                .relay(server.address(), new RelayRequest(TestRelays.head("held"), Flux.empty()))
                .subscribe();
        await().until(() -> server.inProgress() == 1);
        Mono<Boolean> stopped = server.stop(LIMIT).cache();
        stopped.subscribe();

        RelayStatus refused = transport
                .relay(server.address(), new RelayRequest(TestRelays.head("refused"), Flux.empty()))
                .block(LIMIT)
                .head();

        assertEquals(Outcome.NOT_RUN, refused.failure().orElseThrow().outcome());
        pending.dispose();
        assertEquals(Boolean.FALSE, stopped.block(LIMIT));
    }

    @Test
    void shouldKeepTheConnectionWhenAnIdlePeerAnswersPings() throws Exception {
        LinkTimings timings = new LinkTimings(5_000, 150);
        TcpPeerTransport shortTimeoutTransport = TcpPeerTransport.create(
                new WireIdentity(HostId.of("client"), SECRET), Clock.system(), counters, timings);
        handler = request -> Mono.delay(Duration.ofMillis(1_200)).then(echo(request));

        RelayResponse response = shortTimeoutTransport
                .relay(server.address(), new RelayRequest(TestRelays.head("slow"), Flux.empty()))
                .block(LIMIT);

        assertEquals("slow", response.head().requestId());
        shortTimeoutTransport.close().block(LIMIT);
    }

    // -- send

    @Test
    void shouldDeliverMessagesInOrderWhenTheyWereSentWhileConnecting() {
        IntStream.range(0, 50).forEach(i -> transport.send(server.address(), TestRelays.text("m" + i)));

        await().until(() -> messages.size() == 50);
        assertEquals(IntStream.range(0, 50).mapToObj(i -> "m" + i).toList(), messages);
    }

    @Test
    void shouldDropAndCountWhenThePeerIsUnreachable() throws Exception {
        String address = server.address();
        server.stop(Duration.ZERO).block(LIMIT);

        transport.send(address, TestRelays.text("lost"));

        await().until(() -> counters.droppedMessages() == 1);
    }

    @Test
    void shouldReconnectWhenThePeerHasRestarted() throws Exception {
        String address = server.address();
        relayBlocking("before");
        server.stop(Duration.ZERO).block(LIMIT);
        server = PeerServer.start(
                address,
                new WireIdentity(SERVER, SECRET),
                counters,
                (from, bytes) -> messages.add(new String(bytes, StandardCharsets.UTF_8)),
                request -> handler.handle(request));

        await().ignoreExceptions().until(() -> relayBlocking("after").startsWith("after"));
    }

    private String relayBlocking(String id) {
        return TestRelays.relay(transport, server.address(), id, "x").block(LIMIT);
    }

    private Failure relayFailure(String id) {
        Throwable error = assertThrows(RuntimeException.class, () -> relayBlocking(id));
        return TestRelays.failure(Exceptions.unwrap(error));
    }

    private Mono<String> relayText(String id, String body) {
        return TestRelays.relay(transport, server.address(), id, body);
    }

    private static Mono<RelayResponse> echo(RelayRequest request) {
        String id = request.head().requestId();
        Flux<byte[]> body =
                id.equals("large") ? request.body() : Flux.concat(Mono.just(TestRelays.text(id + ":")), request.body());
        return Mono.just(new RelayResponse(TestRelays.status(id), body));
    }
}
