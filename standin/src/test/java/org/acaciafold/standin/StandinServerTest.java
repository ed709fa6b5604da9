package org.acaciafold.standin;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.acaciafold.clients.HttpHostListClient;
import org.acaciafold.clients.HttpObjectClient;
import org.acaciafold.clients.HttpTableClient;
import org.acaciafold.clients.HttpWorkerClient;
import org.acaciafold.clients.TableClient;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.core.port.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

class StandinServerTest {
    private static final long TIMEOUT_MS = 5_000;
    private static final Fence FENCE = Fence.of(1, 0);
    private static final TableRequest WRITE = new TableRequest.Commit(
            List.of(), List.of(new Write("k", Optional.of("v".getBytes(StandardCharsets.UTF_8)))));

    @TempDir
    private Path directory;

    private DisposableServer platform;
    private List<DisposableServer> worker;

    @BeforeEach
    void start() throws IOException, AcaciafoldException {
        Path file = directory.resolve("standin.ini");
        Files.writeString(file, """
                [platform]
                listen = 127.0.0.1:0
                host-list-lag-ms = 0
                [hosts]
                w1 = worker north r1 127.0.0.1:1 127.0.0.1:2
                [worker]
                id = w1
                listen = 127.0.0.1:0
                listen-requests = 127.0.0.1:0
                slots = 2
                """);
        platform = PlatformServer.start(StandinSettings.read(file, "platform"), StandinSettings.read(file, "hosts"));
        worker = WorkerServer.start(StandinSettings.read(file, "worker"));
    }

    @AfterEach
    void stop() {
        platform.disposeNow();
        worker.forEach(DisposableServer::disposeNow);
    }

    // -- table

    @ParameterizedTest
    @CsvSource({"UP, Committed, 1", "DOWN, Unavailable, 0", "SLOW, Committed, 1", "LOSE_ANSWERS, Unavailable, 1"})
    void shouldAnswerCommitWhenFaulty(String mode, String expected, int rows) {
        TableClient table = HttpTableClient.of(Listener.address(platform), TIMEOUT_MS);
        fault(platform, "{\"mode\":\"" + mode + "\",\"slowMs\":10}");
        assertEquals(expected, table.call(WRITE).block().getClass().getSimpleName());
        fault(platform, "{\"mode\":\"UP\",\"slowMs\":0}");
        TableReply read = table.call(new TableRequest.Read(List.of("k"))).block();
        assertEquals(rows, assertInstanceOf(TableReply.Rows.class, read).rows().size());
    }

    @Test
    void shouldReturnUnavailableWhenNothingListens() throws IOException {
        TableClient table = HttpTableClient.of("127.0.0.1:" + closedPort(), TIMEOUT_MS);
        assertInstanceOf(TableReply.Unavailable.class, table.call(WRITE).block());
    }

    // -- objects and hosts

    @Test
    void shouldReadObjectWhenWritten() {
        HttpObjectClient objects = HttpObjectClient.of(Listener.address(platform), TIMEOUT_MS);
        byte[] value = {1, 2, 3};
        objects.write("a/b c", value).block();
        assertArrayEquals(value, objects.read("a/b c").block().orElseThrow());
        assertEquals(Optional.empty(), objects.read("other").block());
    }

    @Test
    void shouldListHostsWhenGivenInSettings() {
        HttpHostListClient hosts = HttpHostListClient.of(Listener.address(platform), TIMEOUT_MS);
        assertEquals("w1", hosts.read().block().hosts().getFirst().id());
    }

    // -- worker

    @Test
    void shouldReturnRefusedWhenConnectionFails() throws IOException {
        WorkerReply reply = HttpWorkerClient.of(TIMEOUT_MS)
                .command("127.0.0.1:" + closedPort(), new WorkerCommand.Release(FENCE))
                .block();
        assertEquals(
                "unreachable",
                assertInstanceOf(WorkerReply.Refused.class, reply).code());
    }

    @Test
    void shouldReturnLostWhenWorkerDoesNotAnswer() {
        fault(worker.getFirst(), "{\"mode\":\"FREEZE\"}");
        WorkerReply reply = HttpWorkerClient.of(100)
                .command(Listener.address(worker.getFirst()), new WorkerCommand.Release(FENCE))
                .block();
        assertInstanceOf(WorkerReply.Lost.class, reply);
    }

    @ParameterizedTest
    @CsvSource({"echo, 200, hello, ", "hold, 200, '{\"key\":\"k1\",\"execution\":1}', ", "stale, 409, , not-run"})
    void shouldAnswerLiveRequestWhenReplicaRuns(String payload, int status, String body, String outcome) {
        long sequence = startService(payload);
        long sent = "stale".equals(payload) ? 0 : sequence;
        Answer answer = HttpClient.create()
                .headers(headers -> headers.set("acaciafold-fence", "1.0")
                        .set("acaciafold-lease", sent)
                        .set("acaciafold-request", "r1")
                        .set("acaciafold-workspace", "t")
                        .set("idempotency-key", "k1"))
                .post()
                .uri("http://" + Listener.address(worker.get(1)) + "/v1/serve/shop/x")
                .send(ByteBufFlux.fromString(Mono.just("hello")))
                .responseSingle((response, content) -> content.asString()
                        .map(text -> new Answer(
                                response.status().code(),
                                text,
                                response.responseHeaders().get("acaciafold-outcome"))))
                .block(Duration.ofMillis(TIMEOUT_MS));
        assertEquals(status, answer.status());
        assertEquals(outcome, answer.outcome());
        if (body != null) {
            assertEquals(body, answer.body());
        }
    }

    // -- bind

    @Test
    void shouldReportAddressWhenPortIsInUse() throws IOException {
        String address = Listener.address(platform);
        Path file = directory.resolve("second.ini");
        Files.writeString(file, "[platform]\nlisten = " + address + "\n");
        AcaciafoldException error = assertThrows(
                AcaciafoldException.class,
                () -> PlatformServer.start(
                        StandinSettings.read(file, "platform"), StandinSettings.read(file, "hosts")));
        assertEquals("port-in-use", error.failure().code());
        assertEquals(address, error.failure().peer());
    }

    private long startService(String payload) {
        HttpWorkerClient client = HttpWorkerClient.of(TIMEOUT_MS);
        String address = Listener.address(worker.getFirst());
        WorkerCommand claim =
                new WorkerCommand.Claim(FENCE, HostId.of("a"), TIMEOUT_MS, 0, TIMEOUT_MS, TIMEOUT_MS, 0, List.of());
        long sequence = ((WorkerReply.Claimed) client.command(address, claim).block()).leaseSequence();
        JobSpec spec = JobSpec.builder(JobId.of("s"), WorkspaceId.of("t"), "shop", new JobKind.Service(1))
                .payload(payload)
                .build();
        WorkerCommand start = new WorkerCommand.Start(FENCE, sequence, spec.task(0), 1, spec, TIMEOUT_MS);
        assertInstanceOf(WorkerReply.Done.class, client.command(address, start).block());
        return sequence;
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static void fault(DisposableServer server, String json) {
        HttpClient.create()
                .post()
                .uri("http://" + Listener.address(server) + "/admin/fault")
                .send(ByteBufFlux.fromString(Mono.just(json)))
                .response()
                .block(Duration.ofMillis(TIMEOUT_MS));
    }

    private record Answer(int status, String body, String outcome) {}
}
