package org.acaciafold.daemon.request;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.StoredOutcome;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.daemon.HostMetrics;
import org.acaciafold.daemon.HostSnapshot;
import org.acaciafold.daemon.RequestContext;
import org.acaciafold.daemon.RequestServices;
import org.acaciafold.daemon.Tracing;
import org.acaciafold.settings.FleetSettings;
import org.acaciafold.settings.HostAddresses;
import org.acaciafold.settings.HostSettings;
import org.acaciafold.settings.HostTimings;
import org.acaciafold.settings.KeyHash;
import org.acaciafold.settings.ObservabilitySettings;
import org.acaciafold.settings.TraceExport;
import org.acaciafold.wire.PeerTransport;
import org.acaciafold.wire.RelayRequest;
import org.acaciafold.wire.RelayResponse;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class LiveRequestsTest {
    private static final String TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    private static final HostId OWNER = HostId.of("h2");
    private static final int MAX_BODY_BYTES = 1_000_000;
    private static final StoredOutcome FIRST =
            new StoredOutcome(Outcome.RAN, 200, "text/plain", "first".getBytes(StandardCharsets.UTF_8));

    private static final long REJECTION_MS = 3_000;

    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final Clock clock = () -> Clock.system().nowMs() + clockOffsetMs.get();
    private final FakeCore core = new FakeCore();
    private final FakeWorker worker = new FakeWorker();
    private final HttpClient client = HttpClient.newHttpClient();
    private Optional<WorkspaceId> workspace = Optional.of(WorkspaceId.of("north"));
    private RequestServices requestServices;
    private DisposableServer entry;

    @BeforeEach
    void start() {
        core.worker(worker.address());
        requestServices = LiveRequestServices.create(context());
        entry = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle((request, response) -> requestServices.live().handle(request, response, workspace))
                .bindNow();
    }

    @AfterEach
    void stop() {
        entry.disposeNow();
        worker.close();
        client.close();
    }

    // -- handle

    @ParameterizedTest
    @CsvSource({"0, false", "5, false", "300000, false", "900000, false", "5, true", "300000, true", "900000, true"})
    void shouldReturnWholeBodyWhenReplicaEchoes(int length, boolean relayed) throws Exception {
        relay(relayed);
        String body = "x".repeat(length);
        HttpResponse<String> response = send("POST", body, Map.of());
        assertEquals(200, response.statusCode());
        assertEquals(body, response.body());
        assertEquals("ran", outcome(response));
        assertEquals(List.of("3.1/7"), worker.fences());
        assertEquals(List.of(TRACE), worker.traces());
        awaitReleases(1);
        assertTrue(core.releases().getFirst().ended());
    }

    static Stream<Arguments> attempts() {
        return Stream.of(false, true).flatMap(relayed -> behaviors().map(behavior -> relayed(behavior, relayed)));
    }

    private static Stream<Arguments> behaviors() {
        return Stream.of(
                arguments("POST", "FAIL", 500, "ran", 1),
                arguments("POST", "REFUSE ECHO", 200, "ran", 1),
                arguments("POST", "REFUSE ".repeat(8).trim(), 502, "not-run", 0),
                arguments("POST", "CLOSE", 502, "unknown", 1),
                arguments("POST", "CROSS", 502, "unknown", 1),
                arguments("GET", "CLOSE ECHO", 200, "ran", 2),
                arguments("GET", "CROSS ECHO", 200, "ran", 2),
                arguments("GET", "CLOSE" + " REFUSE".repeat(7), 502, "unknown", 1));
    }

    @ParameterizedTest
    @MethodSource("attempts")
    void shouldReturnTrueOutcomeWhenWorkerMisbehaves(
            String method, String behaviors, int status, String outcome, int ran, boolean relayed) throws Exception {
        relay(relayed);
        FakeWorker.Behavior[] next = Arrays.stream(behaviors.split(" "))
                .map(FakeWorker.Behavior::valueOf)
                .toArray(FakeWorker.Behavior[]::new);
        worker.answer(next);
        HttpResponse<String> response = send(method, method.equals("GET") ? "" : "body", Map.of());
        assertEquals(status, response.statusCode());
        assertEquals(outcome, outcome(response));
        assertEquals(ran, worker.bodies().size());
        awaitReleases(next.length);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldCloseConnectionWhenResponseIsTruncated(boolean relayed) throws Exception {
        relay(relayed);
        worker.answer(FakeWorker.Behavior.CUT);
        assertThrows(IOException.class, () -> send("POST", "body", Map.of()));
        awaitReleases(1);
        assertEquals(false, core.releases().getFirst().ended());
    }

    @Test
    void shouldStreamWhenBodyHasNoLength() throws Exception {
        byte[] body = new byte[700_000];
        Arrays.fill(body, (byte) 'y');
        HttpRequest request = request(
                        "POST", HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)))
                .build();
        HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        assertArrayEquals(body, response.body());
    }

    @Test
    void shouldAnswerWithoutBodyWhenMethodIsHead() throws Exception {
        HttpResponse<String> response = send("HEAD", "", Map.of());
        assertEquals(200, response.statusCode());
        awaitReleases(1);
    }

    @Test
    void shouldRunNothingWhenCallerTruncatesItsBody() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", entry.port())) {
            String head = "POST /v1/services/shop/x HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n";
            caller.getOutputStream().write((head + "z".repeat(1_000)).getBytes(StandardCharsets.US_ASCII));
            caller.getOutputStream().flush();
            Awaitility.await().until(() -> worker.fences().size() == 1);
        }
        awaitReleases(1);
        assertEquals(0, worker.bodies().size());
    }

    @Test
    void shouldReturnNotRunWhenWorkerIsUnreachable() throws Exception {
        try (ServerSocket closed = new ServerSocket(0)) {
            core.worker("127.0.0.1:" + closed.getLocalPort());
        }
        HttpResponse<String> response = send("POST", "body", Map.of());
        assertEquals("not-run", outcome(response));
        assertEquals(502, response.statusCode());
    }

    @Test
    void shouldAnswerAtDeadlineWhenWorkerIsUnresponsive() throws Exception {
        worker.answer(FakeWorker.Behavior.SLEEP);
        HttpResponse<String> response = send("POST", "body", Map.of("Acaciafold-Deadline-Ms", "200"));
        assertEquals(504, response.statusCode());
        assertEquals("unknown", outcome(response));
        assertTrue(response.headers().firstValue("retry-after").isPresent());
    }

    @ParameterizedTest
    @CsvSource({"queue-full, 429", "too-busy, 503", "deadline, 504", "other-workspace, 403", "no-replica, 503"})
    void shouldNotRetryWhenAdmissionRejects(String code, int status) throws Exception {
        Failure failure = Failure.notRun(Step.ADMISSION, "h", code, "no");
        core.answerSlot(Mono.just(new ClientReply.Failed(failure)));
        HttpResponse<String> response = send("POST", "body", Map.of());
        assertEquals(status, response.statusCode());
        assertEquals("not-run", outcome(response));
        assertEquals(0, worker.bodies().size());
    }

    @Test
    void shouldAnswerAtOnceWhenNoAttemptFitsBeforeDeadline() throws Exception {
        worker.answer(Collections.nCopies(20, FakeWorker.Behavior.REFUSE).toArray(FakeWorker.Behavior[]::new));
        worker.onRequest(() -> clockOffsetMs.addAndGet(REJECTION_MS));
        HttpResponse<String> response = send("POST", "body", Map.of("Acaciafold-Deadline-Ms", "11000"));
        assertEquals("not-run", outcome(response));
        // after the third attempt 2 s remain, too short for another attempt of 3 s
        assertEquals(3, worker.fences().size());
    }

    @Test
    void shouldStayUnknownWhenAdmissionRejectsAfterAnUnknownAttempt() throws Exception {
        worker.answer(FakeWorker.Behavior.CLOSE);
        core.answerSlot(Mono.fromSupplier(() -> core.grant(worker.address())));
        core.answerSlot(Mono.just(new ClientReply.Failed(Failure.notRun(Step.ADMISSION, "h", "queue-full", "no"))));
        assertEquals("unknown", outcome(send("GET", "", Map.of())));
    }

    @Test
    void shouldStopRetryingWhenBudgetIsExhausted() throws Exception {
        worker.answer(Collections.nCopies(200, FakeWorker.Behavior.REFUSE).toArray(FakeWorker.Behavior[]::new));
        for (int request = 0; request < 25; request++) {
            send("POST", "body", Map.of());
        }
        int retries = worker.fences().size() - 25;
        assertTrue(retries >= 20 && retries <= 25, "retries: " + retries);
    }

    @ParameterizedTest
    @CsvSource({"Acaciafold-Deadline-Ms, soon, 400", "Acaciafold-Deadline-Ms, 0, 400", "Idempotency-Key, a/b, 400"})
    void shouldRejectWhenHeaderIsMalformed(String name, String value, int status) throws Exception {
        assertEquals(status, send("POST", "body", Map.of(name, value)).statusCode());
    }

    @Test
    void shouldRejectWhenCallerHasNoKeyAndServiceIsNotOpen() throws Exception {
        workspace = Optional.empty();
        assertEquals(401, send("POST", "body", Map.of()).statusCode());
    }

    @Test
    void shouldRejectWhenBodyIsTooLong() throws Exception {
        assertEquals(413, send("POST", "x".repeat(MAX_BODY_BYTES + 1), Map.of()).statusCode());
        assertEquals(0, worker.bodies().size());
    }

    // -- idempotency

    static Stream<Arguments> claims() {
        Failure down = Failure.notRun(Step.CLAIM, "table", "claim-unavailable", "no");
        return Stream.of(
                arguments(new ClientReply.Claimed(), 200, "ran", "body", 1),
                arguments(new ClientReply.Repeated(Optional.of(FIRST)), 200, "ran", "first", 0),
                arguments(new ClientReply.Repeated(Optional.empty()), 503, "unknown", "", 0),
                arguments(new ClientReply.Failed(down), 503, "not-run", "", 0));
    }

    @ParameterizedTest
    @MethodSource("claims")
    void shouldRunOnlyWhenKeyIsClaimed(ClientReply claim, int status, String outcome, String body, int ran)
            throws Exception {
        core.answerClaims(Mono.just(claim));
        HttpResponse<String> response = send("POST", "body", Map.of("Idempotency-Key", "k"));
        assertEquals(status, response.statusCode());
        assertEquals(outcome, outcome(response));
        assertEquals(ran, worker.bodies().size());
        if (!body.isEmpty()) {
            assertEquals(body, response.body());
        }
    }

    @ParameterizedTest
    @CsvSource({"ECHO, RAN, 200", "FAIL, RAN, 500", "CLOSE, UNKNOWN, 0", "CUT, RAN, 200"})
    void shouldSettleFirstOutcomeWhenClaimed(FakeWorker.Behavior behavior, Outcome outcome, int status)
            throws Exception {
        worker.answer(behavior);
        try {
            send("POST", "body", Map.of("Idempotency-Key", "k"));
        } catch (IOException e) {
            assertEquals(FakeWorker.Behavior.CUT, behavior);
        }
        Awaitility.await().until(() -> core.settled().size() == 1);
        assertEquals(outcome, core.settled().getFirst().outcome());
        assertEquals(status, core.settled().getFirst().status());
        assertEquals(1, worker.bodies().size());
    }

    @Test
    void shouldSettleAsNotRunWhenClaimComesAfterDeadline() throws Exception {
        core.answerClaims(Mono.delay(Duration.ofMillis(400)).<ClientReply>map(tick -> new ClientReply.Claimed()));
        HttpResponse<String> response =
                send("POST", "body", Map.of("Idempotency-Key", "k", "Acaciafold-Deadline-Ms", "100"));
        assertEquals("not-run", outcome(response));
        Awaitility.await().until(() -> core.settled().size() == 1);
        assertEquals(Outcome.NOT_RUN, core.settled().getFirst().outcome());
        assertEquals(0, worker.bodies().size());
    }

    private void awaitReleases(int count) {
        Awaitility.await().until(() -> core.releases().size() == count);
    }

    private void relay(boolean relayed) {
        if (relayed) {
            core.owner(OWNER);
        }
    }

    private RequestContext context() {
        HostEntry owner = new HostEntry(
                OWNER.value(), HostRole.ENTRY, DomainId.of("d"), "r", "127.0.0.1:1", "127.0.0.1:2", false);
        HostSnapshot snapshot = new HostSnapshot(FleetSettings.empty(), List.of(owner), 0, 0, true, false);
        HostSettings settings = new HostSettings(
                HostId.of("h"),
                DomainId.of("d"),
                new HostAddresses("", "", "", ""),
                "",
                new KeyHash("", "", ""),
                new HostTimings(1, 1, 1, 1, 1),
                new ObservabilitySettings(false, TraceExport.NONE, ""),
                MAX_BODY_BYTES);
        return new RequestContext(
                settings, core, new LocalPeers(), () -> snapshot, HostMetrics.create(), Tracing.none(), clock);
    }

    private HttpRequest.Builder request(String method, HttpRequest.BodyPublisher content) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/v1/services/shop/x?y=1"))
                .timeout(Duration.ofSeconds(15))
                .header("traceparent", TRACE)
                .method(method, content);
    }

    private HttpResponse<String> send(String method, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher content =
                body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest.Builder request = request(method, content);
        headers.forEach(request::header);
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue("acaciafold-outcome").orElse("");
    }

    private static Arguments relayed(Arguments behavior, boolean relayed) {
        List<Object> all = new ArrayList<>(List.of(behavior.get()));
        all.add(relayed);
        return Arguments.of(all.toArray());
    }

    /** Relays to the same host, without a connection. */
    private final class LocalPeers implements PeerTransport {
        @Override
        public Mono<Void> close() {
            return Mono.empty();
        }

        @Override
        public Mono<RelayResponse> relay(String address, RelayRequest request) {
            return requestServices.relays().handle(request);
        }

        @Override
        public void send(String address, byte[] message) {
            throw new IllegalStateException("the live request services send no messages");
        }
    }
}
