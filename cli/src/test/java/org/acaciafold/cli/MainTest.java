package org.acaciafold.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaders;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class MainTest {
    private static final String UNREACHABLE_HOST = "127.0.0.1:1";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<DisposableServer> servers = new ArrayList<>();
    private final List<String> requests = new ArrayList<>();
    private final List<HttpHeaders> headers = new ArrayList<>();

    @AfterEach
    void stop() {
        servers.forEach(DisposableServer::disposeNow);
    }

    // -- help

    static Stream<String> commands() {
        return Stream.of(
                "check",
                "settings list",
                "settings get",
                "settings put",
                "settings delete",
                "settings edit",
                "key create",
                "key withdraw",
                "key operator",
                "domain out",
                "domain in",
                "domain show",
                "status",
                "job submit",
                "job status",
                "job cancel",
                "job result",
                "serve");
    }

    @ParameterizedTest
    @MethodSource("commands")
    void shouldDocumentTheExitCodesWhenHelpIsAsked(String command) {
        assertEquals(ExitCode.DONE, run((command + " --help").split(" ")));

        for (ExitCode code : ExitCode.values()) {
            assertTrue(printed().contains("  " + code.code() + "  " + code.meaning()), printed());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "unknown", "settings", "settings get", "settings get a b", "status --hots x", "serve"})
    void shouldReturnUsageWhenTheCommandLineIsInvalid(String line) {
        assertEquals(ExitCode.USAGE, run(line.isEmpty() ? new String[0] : line.split(" ")));
        assertTrue(err.size() > 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"localhost:80", "127.0.0.1", "127.0.0.1:x"})
    void shouldReturnUsageWhenTheHostIsNotAnAddress(String host) {
        assertEquals(ExitCode.USAGE, run("status", "--host", host, "--key", "a.b"));
    }

    // -- check

    @Test
    void shouldPrintEveryErrorWhenATreeIsInvalid(@TempDir Path directory) throws Exception {
        Files.createDirectory(directory.resolve("domain"));
        Files.writeString(directory.resolve("domain/d1.ini"), "[domain]\nslices = 0\n");
        Files.writeString(directory.resolve("open.ini"), "[services]\nx = nobody\n");

        assertEquals(ExitCode.USAGE, run("check", directory.toString()));

        assertTrue(errors().contains("domain/d1:2: slices: 0 is out of range; right is 1 to 64"), errors());
        assertTrue(errors().contains("there is no workspace nobody"), errors());
    }

    @Test
    void shouldReturnDoneWhenASubtreeIsValid(@TempDir Path directory) throws Exception {
        Path file = Files.writeString(directory.resolve("x"), "[domain]\nslices = 2\n");

        assertEquals(ExitCode.DONE, run("check", "--subtree", "domain/d1", file.toString()));
    }

    // -- settings

    @Test
    void shouldPutTheVersionItReadWhenNoneIsGiven(@TempDir Path directory) throws Exception {
        Path file = Files.writeString(directory.resolve("x"), "[domain]\n");
        String host = serve(
                json(200, "", new ClientReply.SettingsFound("domain/d1", 7, "")),
                json(202, "", new ClientReply.EditState("e", 8, false, List.of("h2"))));

        ExitCode code = call(host, "settings", "put", "domain/d1", file.toString());

        assertEquals(ExitCode.PENDING, code);
        assertEquals(List.of("GET /v1/settings/domain/d1", "PUT /v1/settings/domain/d1"), requests);
        assertEquals("7", headers.get(1).get("If-Match"));
        assertEquals("Bearer k.s", headers.get(1).get("Authorization"));
        assertTrue(printed().contains("waiting for h2"), printed());
    }

    @Test
    void shouldPollUntilTheEditIsInForceWhenWaitIsSet() {
        String host = serve(
                json(202, "", new ClientReply.EditState("e", 8, false, List.of("h2"))),
                json(200, "", new ClientReply.EditState("e", 8, false, List.of("h2"))),
                json(200, "", new ClientReply.EditState("e", 8, true, List.of())));

        assertEquals(ExitCode.DONE, call(host, "domain", "out", "d1", "--wait"));
        assertEquals(List.of("POST /v1/domains/d1/out", "GET /v1/edits/e", "GET /v1/edits/e"), requests);
    }

    @Test
    void shouldRepeatTheSameEditElsewhereWhenTheOutcomeIsUnknown() {
        String first = serve(failure(503, Failure.unknown(Step.TABLE, "table", "edit-unknown", "lost")));
        String second = serve(json(202, "", new ClientReply.EditState("e", 8, true, List.of())));
        String hosts = UNREACHABLE_HOST + "," + first + "," + second;

        assertEquals(ExitCode.DONE, call(hosts, "settings", "delete", "open", "--if-version", "3", "--edit", "e"));

        assertEquals(2, headers.size());
        headers.forEach(sent -> assertEquals("e", sent.get("Acaciafold-Edit")));
    }

    // -- exit codes

    static Stream<Arguments> answers() {
        Failure refused = Failure.notRun(Step.SETTINGS, "h", "invalid-settings", "x:1: wrong");
        Failure unavailable = Failure.notRun(Step.TABLE, "table", "table-unavailable", "away");
        Failure lost = Failure.unknown(Step.TABLE, "table", "edit-unknown", "lost");
        return Stream.of(
                arguments(failure(422, refused), ExitCode.FAILED, "x:1: wrong"),
                arguments(failure(503, unavailable), ExitCode.NOT_RUN, "table-unavailable at TABLE (table): away"),
                arguments(failure(503, lost), ExitCode.UNKNOWN, "lost"),
                arguments(json(409, "", new ClientReply.EditConflict(9, "")), ExitCode.FAILED, "at version 9 now"));
    }

    @ParameterizedTest
    @MethodSource("answers")
    void shouldReturnTheOutcomeWhenTheHostRefuses(Answer answer, ExitCode expected, String message) {
        assertEquals(expected, call(serve(answer), "key", "withdraw", "north", "k1"));
        assertTrue(errors().contains(message), errors());
    }

    @ParameterizedTest
    @ValueSource(strings = {"text", "json"})
    void shouldPrintTheKeyAndReturnPendingWhenNotAllHostsHaveIt(String output) {
        ClientReply.EditState state = new ClientReply.EditState("e", 8, false, List.of("h2"));
        KeyCommands.Created created = new KeyCommands.Created("k1.s1", "k1", state);
        String host = serve(new Answer(201, "", Codec.json().encode(created, KeyCommands.Created.class)));

        assertEquals(ExitCode.PENDING, call(host, "key", "create", "north", "--output", output));
        assertTrue(printed().contains("k1.s1"), printed());
    }

    @Test
    void shouldNotCreateASecondKeyWhenTheFirstMayExist() {
        String first = serve(failure(503, Failure.unknown(Step.TABLE, "table", "edit-unknown", "lost")));
        String second = serve();

        assertEquals(ExitCode.UNKNOWN, call(first + "," + second, "key", "create", "north"));
        assertEquals(1, requests.size());
    }

    @Test
    void shouldReturnNotRunWhenNoHostCanBeReached() {
        assertEquals(ExitCode.NOT_RUN, call(UNREACHABLE_HOST, "key", "create", "north"));
    }

    private ExitCode call(String host, String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--host", host, "--key", "k.s"));
        return run(all.toArray(String[]::new));
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static Answer failure(int status, Failure failure) {
        String outcome =
                failure.outcome().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        return new Answer(status, outcome, Codec.json().encode(failure, Failure.class));
    }

    private static Answer json(int status, String outcome, ClientReply reply) {
        return new Answer(status, outcome, Codec.json().encode(reply, ClientReply.class));
    }

    private String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private ExitCode run(String... arguments) {
        Main main = Main.of(
                Map.of(),
                new ByteArrayInputStream(new byte[0]),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return main.run(arguments);
    }

    /** Starts a server that gives the answers in order. */
    private String serve(Answer... answers) {
        List<Answer> remaining = new ArrayList<>(List.of(answers));
        DisposableServer server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle((request, response) -> request.receive()
                        .aggregate()
                        .asString()
                        .defaultIfEmpty("")
                        .flatMap(body -> {
                            Answer answer = next(remaining, request);
                            Optional.of(answer.outcome())
                                    .filter(outcome -> !outcome.isEmpty())
                                    .ifPresent(outcome -> response.header("Acaciafold-Outcome", outcome));
                            return response.status(answer.status())
                                    .sendByteArray(Mono.just(answer.body()))
                                    .then();
                        }))
                .bindNow();
        servers.add(server);
        return "127.0.0.1:" + server.port();
    }

    private synchronized Answer next(List<Answer> remaining, HttpServerRequest request) {
        requests.add(request.method() + " " + request.uri());
        headers.add(request.requestHeaders().copy());
        return remaining.removeFirst();
    }

    private record Answer(int status, String outcome, byte[] body) {}
}
