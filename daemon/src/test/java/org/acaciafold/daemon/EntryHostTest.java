package org.acaciafold.daemon;

import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EntryHostTest {
    private static final long LIMIT_S = 30;

    private final Sinks.One<String> body = Sinks.one();
    private final AtomicInteger inProgress = new AtomicInteger();

    // -- stop

    @Test
    void shouldFinishTheRequestInProgressWhenItStops() throws Exception {
        TestHost running = TestHost.start(this::blockingServices);
        await().until(running.host::ready);
        String callers = running.host.callersAddress();
        CompletableFuture<HttpResponse<String>> request = CompletableFuture.supplyAsync(() -> get(callers));
        await().until(() -> inProgress.get() == 1);

        CompletableFuture<Boolean> incomplete = CompletableFuture.supplyAsync(running.host::stop);
        await().until(() -> !running.host.ready());
        await().until(() -> refusesConnections(callers));
        assertFalse(incomplete.isDone());
        body.tryEmitValue("the whole answer");

        assertEquals("the whole answer", request.get(LIMIT_S, TimeUnit.SECONDS).body());
        assertFalse(incomplete.get(LIMIT_S, TimeUnit.SECONDS));
    }

    @Test
    void shouldHandOverItsSlicesWhenItStops() throws Exception {
        TestHost running = TestHost.start(this::blockingServices);
        await().until(running.host::ready);
        await().until(() -> ownedSlices(running) == 1);

        boolean incomplete = running.host.stop();

        assertFalse(incomplete);
        assertThrows(
                ConnectException.class,
                () -> HttpCalls.call("GET", running.host.operatorsAddress(), "/healthz", "", ""));
    }

    // -- ready

    @Test
    void shouldNotBeReadyWhileTheSettingsAreUnknown() throws Exception {
        FakeTable table = new FakeTable();
        table.down(true);
        try (TestHost running = TestHost.start(table, this::blockingServices)) {
            String operators = running.host.operatorsAddress();
            await().until(() ->
                    HttpCalls.call("GET", operators, "/metrics", "", "").body().contains("result=\"Unavailable\""));
            assertEquals(
                    503, HttpCalls.call("GET", operators, "/readyz", "", "").statusCode());
            assertEquals(
                    200, HttpCalls.call("GET", operators, "/healthz", "", "").statusCode());

            table.down(false);

            await().until(() ->
                    HttpCalls.call("GET", operators, "/readyz", "", "").statusCode() == 200);
            assertTrue(running.host.ready());
        }
    }

    private RequestServices blockingServices(RequestContext context) {
        return new RequestServices(
                (request, response, workspace) -> {
                    inProgress.incrementAndGet();
                    return response.sendString(body.asMono()).then();
                },
                request -> Mono.error(new IllegalStateException("no relays")));
    }

    private static HttpResponse<String> get(String address) {
        try {
            return HttpCalls.call("GET", address, "/v1/services/catalogue/", "", "");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static int ownedSlices(TestHost running) throws Exception {
        String metrics = HttpCalls.call("GET", running.host.operatorsAddress(), "/metrics", "", "")
                .body();
        return metrics.contains("acaciafold_slices_owned 1.0") ? 1 : 0;
    }

    private static boolean refusesConnections(String address) throws Exception {
        try {
            HttpCalls.call("GET", address, "/nothing", "", "");
            return false;
        } catch (ConnectException e) {
            return true;
        }
    }
}
