package org.acaciafold.daemon;

import java.io.ByteArrayInputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.stream.Stream;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Outcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HostApiTest {
    private static final String OPERATOR = TestHost.OPERATOR_KEY.text();
    private static final String JOB = """
            {"name":"ledger","kind":{"type":"Batch","tasks":%s,"finishWithinMs":null},
             "demand":{"cpuMillis":%s,"memoryMib":%s,"accelerators":0},
             "priority":"NORMAL","exclusive":false,"runTimeMs":1000,"payload":"x"}""";
    private static final String WORKSPACE = """
            [workspace]
            weight = 1
            limit-cpu = 100cores
            limit-memory = 100GiB
            """;

    private TestHost running;
    private String callers;
    private String operators;
    private String northKey;
    private String southKey;

    @BeforeAll
    void start() throws Exception {
        running = TestHost.start(HostApiTest::requestServices);
        callers = running.host.callersAddress();
        operators = running.host.operatorsAddress();
        await().until(running.host::ready);
        northKey = workspace("north");
        southKey = workspace("south");
    }

    @AfterAll
    void stop() {
        running.close();
    }

    // -- callers

    static Stream<Arguments> badJobs() {
        String json = "application/json";
        String good = JOB.formatted(1, 100, 100);
        return Stream.of(
                Arguments.of("not JSON", json, "{", 400, "malformed"),
                Arguments.of("empty", json, "", 400, "malformed"),
                Arguments.of("a list", json, "[]", 400, "malformed"),
                Arguments.of("nothing in it", json, "{}", 400, "malformed"),
                Arguments.of("deeply nested", json, "[".repeat(50_000), 400, "malformed"),
                Arguments.of("unknown kind", json, good.replace("Batch", "Cron"), 400, "malformed"),
                Arguments.of("unknown priority", json, good.replace("NORMAL", "MOST"), 400, "malformed"),
                Arguments.of("bad name", json, good.replace("ledger", "../ledger"), 400, "malformed"),
                Arguments.of("no tasks", json, JOB.formatted(0, 100, 100), 400, "malformed"),
                Arguments.of("absurdly many tasks", json, JOB.formatted(2_000_000_000, 100, 100), 400, "malformed"),
                Arguments.of("a number that overflows", json, JOB.formatted("9".repeat(40), 1, 1), 400, "malformed"),
                Arguments.of("a negative size", json, JOB.formatted(1, -5, 100), 400, "malformed"),
                Arguments.of("an absurd size", json, JOB.formatted(1, 100, Long.MAX_VALUE), 400, "malformed"),
                Arguments.of("too long", json, " ".repeat((int) TestHost.MAX_BODY_BYTES + 1), 413, "too-long"),
                Arguments.of("not said to be JSON", "text/plain", good, 415, "content-type"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("badJobs")
    void shouldRejectWithATypedErrorWhenTheJobIsInvalid(String name, String type, String body, int status, String code)
            throws Exception {
        HttpResponse<String> response =
                HttpCalls.call("POST", callers, "/v1/jobs", northKey, body, "Content-Type", type);

        assertRejected(response, status, code);
    }

    @Test
    void shouldRejectWhenAChunkedBodyIsTooLong() throws Exception {
        byte[] body = new byte[(int) TestHost.MAX_BODY_BYTES * 2];
        HttpRequest.BodyPublisher chunked =
                HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body));

        HttpResponse<String> response =
                HttpCalls.call("POST", callers, "/v1/jobs", northKey, chunked, "Content-Type", "application/json");

        assertRejected(response, 413, "too-long");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "k", "nobody.secret", "a.b.c", "...."})
    void shouldRejectWhenTheKeyIsNotInForce(String key) throws Exception {
        HttpResponse<String> response = HttpCalls.call("GET", callers, "/v1/jobs/j1", key, "");

        assertRejected(response, 401, key.isEmpty() ? "no-key" : "wrong-key");
    }

    @Test
    void shouldRejectWhenTheSecretOfTheKeyIsWrong() throws Exception {
        String id = northKey.substring(0, northKey.indexOf('.'));

        assertRejected(HttpCalls.call("GET", callers, "/v1/jobs/j1", id + ".wrong", ""), 401, "wrong-key");
    }

    @Test
    void shouldRejectWhenTheIdempotencyKeyIsTooLong() throws Exception {
        HttpResponse<String> response = HttpCalls.call(
                "POST",
                callers,
                "/v1/jobs",
                northKey,
                JOB.formatted(1, 1, 1),
                "Content-Type",
                "application/json",
                "Idempotency-Key",
                "k".repeat(201));

        assertRejected(response, 400, "malformed");
    }

    @Test
    void shouldAcceptStatusAndCancellationOfAJobFromItsWorkspaceOnly() throws Exception {
        HttpResponse<String> submitted = await().until(this::submit, response -> response.statusCode() != 503);
        assertEquals(202, submitted.statusCode(), submitted.body());
        String job = submitted.body().replaceAll(".*\"job\":\"([^\"]+)\".*", "$1");

        assertEquals(
                200,
                HttpCalls.call("GET", callers, "/v1/jobs/" + job, northKey, "").statusCode());
        assertRejected(HttpCalls.call("GET", callers, "/v1/jobs/" + job + "/result", northKey, ""), 409, "not-ended");
        assertRejected(HttpCalls.call("GET", callers, "/v1/jobs/" + job, southKey, ""), 403, "forbidden");
        assertRejected(HttpCalls.call("DELETE", callers, "/v1/jobs/" + job, southKey, ""), 403, "forbidden");
        assertEquals(
                202,
                HttpCalls.call("DELETE", callers, "/v1/jobs/" + job, northKey, "")
                        .statusCode());
    }

    @ParameterizedTest
    @CsvSource({"GET,/v1/jobs/none,404", "DELETE,/v1/jobs/none,404", "GET,/nothing,404", "PUT,/v1/jobs,404"})
    void shouldReturnNotFoundWhenTheResourceIsUnknown(String method, String path, int status) throws Exception {
        assertRejected(HttpCalls.call(method, callers, path, northKey, ""), status, "not-found");
    }

    @Test
    void shouldPassLiveRequestsToTheRequestServicesWithTheirWorkspace() throws Exception {
        assertEquals(
                "north",
                HttpCalls.call("GET", callers, "/v1/services/catalogue/x", northKey, "")
                        .body());
        assertEquals(
                "nobody",
                HttpCalls.call("GET", callers, "/v1/services/catalogue/x", "", "")
                        .body());
        assertRejected(HttpCalls.call("GET", callers, "/v1/services/catalogue/x", "k.x", ""), 401, "wrong-key");
    }

    // -- operators

    @ParameterizedTest
    @CsvSource({
        "GET,/v1/settings",
        "PUT,/v1/settings/workspace/x",
        "DELETE,/v1/settings/workspace/x",
        "POST,/v1/workspaces/x/keys",
        "POST,/v1/domains/east/out",
        "GET,/v1/status",
        "GET,/v1/edits/e1"
    })
    void shouldRejectOperatorsWithoutTheirKey(String method, String path) throws Exception {
        assertRejected(HttpCalls.call(method, operators, path, "", ""), 401, "no-key");
        assertRejected(HttpCalls.call(method, operators, path, northKey, ""), 401, "wrong-key");
    }

    @ParameterizedTest
    @CsvSource(textBlock = """
                    /v1/settings/workspace/west,   '[workspace',      422
                    /v1/settings/workspace/west,   '[workspace] w=1', 422
                    /v1/settings/planet/west, '[workspace]',     400
                    /v1/settings/workspace/..,     x,            400
                    /v1/settings/workspace/a%2Fb,  x,            400
                    """)
    void shouldRejectSettingsThatAreInvalid(String path, String text, int status) throws Exception {
        HttpResponse<String> response =
                HttpCalls.call("PUT", operators, path, OPERATOR, text, "Content-Type", "text/plain");

        assertEquals(status, response.statusCode(), response.body());
        assertEquals(Outcome.NOT_RUN, HttpCalls.failure(response).outcome());
    }

    @ParameterizedTest
    @CsvSource({"If-Match,x", "If-Match,-1", "Acaciafold-Edit,a b"})
    void shouldRejectAnEditWhoseHeadersAreMalformed(String header, String value) throws Exception {
        HttpResponse<String> response = HttpCalls.call(
                "PUT",
                operators,
                "/v1/settings/workspace/west",
                OPERATOR,
                WORKSPACE,
                "Content-Type",
                "text/plain",
                header,
                value);

        assertRejected(response, 400, "malformed");
    }

    @Test
    void shouldReturnTheConflictWhenTheSubtreeHasChanged() throws Exception {
        HttpResponse<String> response = HttpCalls.call(
                "PUT",
                operators,
                "/v1/settings/workspace/north",
                OPERATOR,
                WORKSPACE,
                "Content-Type",
                "text/plain",
                "If-Match",
                "\"999\"");

        assertEquals(409, response.statusCode());
        assertTrue(response.body().contains("weight"), response.body());
    }

    @Test
    void shouldRejectAKeyWhenItIsWithdrawn() throws Exception {
        String key = workspace("brief");
        String id = key.substring(0, key.indexOf('.'));

        HttpResponse<String> response =
                HttpCalls.call("DELETE", operators, "/v1/workspaces/brief/keys/" + id, OPERATOR, "");

        assertEquals(202, response.statusCode(), response.body());
        await().until(() ->
                HttpCalls.call("GET", callers, "/v1/jobs/none", key, "").statusCode() == 401);
        assertRejected(
                HttpCalls.call("DELETE", operators, "/v1/workspaces/brief/keys/" + id, OPERATOR, ""),
                404,
                "unknown-key");
        assertRejected(
                HttpCalls.call("POST", operators, "/v1/workspaces/none/keys", OPERATOR, ""), 404, "unknown-workspace");
    }

    @Test
    void shouldTakeADomainOutAndIn() throws Exception {
        HttpResponse<String> out = HttpCalls.call("POST", operators, "/v1/domains/west/out", OPERATOR, "");
        HttpResponse<String> found = HttpCalls.call("GET", operators, "/v1/settings/domain/west", OPERATOR, "");
        HttpResponse<String> in = HttpCalls.call("POST", operators, "/v1/domains/west/in", OPERATOR, "");

        assertEquals(202, out.statusCode(), out.body());
        assertTrue(found.body().contains("taken-out = true"), found.body());
        assertTrue(found.headers().firstValue("ETag").isPresent());
        assertEquals(202, in.statusCode(), in.body());
    }

    @Test
    void shouldShowHealthStatusAndMetrics() throws Exception {
        assertEquals(200, HttpCalls.call("GET", operators, "/healthz", "", "").statusCode());
        assertEquals(200, HttpCalls.call("GET", operators, "/readyz", "", "").statusCode());
        HttpResponse<String> status = HttpCalls.call("GET", operators, "/v1/status", OPERATOR, "");
        String metrics = HttpCalls.call("GET", operators, "/metrics", "", "").body();

        assertTrue(status.body().contains("\"host\":\"host-1\""), status.body());
        assertTrue(metrics.contains("acaciafold_table_calls_seconds_count"), metrics);
        assertTrue(metrics.contains("acaciafold_http_requests_total"), metrics);
    }

    // -- start

    @Test
    void shouldNameTheAddressWhenThePortIsInUse() {
        AcaciafoldException error =
                assertThrows(AcaciafoldException.class, () -> EntryHost.start(TestHost.settings(callers)));

        assertEquals("port-in-use", error.failure().code());
        assertEquals(callers, error.failure().peer());
    }

    private HttpResponse<String> submit() throws Exception {
        return HttpCalls.call(
                "POST",
                callers,
                "/v1/jobs",
                northKey,
                JOB.formatted(1, 100, 100),
                "Content-Type",
                "application/json",
                "Idempotency-Key",
                "once");
    }

    private String workspace(String name) throws Exception {
        HttpResponse<String> written = HttpCalls.call(
                "PUT", operators, "/v1/settings/workspace/" + name, OPERATOR, WORKSPACE, "Content-Type", "text/plain");
        assertEquals(202, written.statusCode(), written.body());
        HttpResponse<String> created =
                HttpCalls.call("POST", operators, "/v1/workspaces/" + name + "/keys", OPERATOR, "");
        assertEquals(201, created.statusCode(), created.body());
        String key = created.body().replaceAll(".*\"key\":\"([^\"]+)\".*", "$1");
        await().until(() ->
                HttpCalls.call("GET", callers, "/v1/jobs/none", key, "").statusCode() == 404);
        return key;
    }

    private static void assertRejected(HttpResponse<String> response, int status, String code) throws Exception {
        assertEquals(status, response.statusCode(), response.body());
        Failure failure = HttpCalls.failure(response);
        assertEquals(code, failure.code());
        assertEquals(Outcome.NOT_RUN, failure.outcome());
        assertEquals(
                "not-run",
                response.headers().firstValue(HttpAnswers.OUTCOME_HEADER).orElse(""));
    }

    private static RequestServices requestServices(RequestContext context) {
        return new RequestServices(
                (request, response, workspace) -> response.sendString(
                                Mono.just(workspace.map(Object::toString).orElse("nobody")))
                        .then(),
                request -> Mono.error(new IllegalStateException("no relays")));
    }
}
