package org.acaciafold.clients;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.handler.codec.http.HttpHeaders;
import org.acaciafold.core.model.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Covers a leader that makes hundreds of calls a second on a small processor. */
class JsonHttpTest {
    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final long TIMEOUT_MS = 5_000;

    private final AtomicReference<HttpHeaders> received = new AtomicReference<>();
    private final LoopResources loops = LoopResources.create("client", 1, true);
    /** Returns each body as it was received. */
    private final DisposableServer server = HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle((request, response) -> request.receive()
                    .aggregate()
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .flatMap(body -> {
                        received.set(request.requestHeaders().copy());
                        return response.sendByteArray(Mono.just(body)).then();
                    }))
            .bindNow();

    @AfterEach
    void stop() {
        server.disposeNow();
        loops.dispose();
    }

    // -- exchange

    /** Guards against chunked bodies, which take several writes and a quarter more processor time for each call. */
    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"task\":\"5c0e7a21d94b36f8.0.1.17\",\"run\":2}"})
    void shouldSendABodyWithItsLengthWhenItHasOne(String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);

        JsonHttp.Answer answer = exchange(body);

        assertArrayEquals(body, answer.body());
        assertEquals(Integer.toString(body.length), received.get().get("content-length"));
        assertFalse(received.get().contains("transfer-encoding"));
    }

    @Test
    void shouldCallWithoutABodyWhenItIsEmpty() {
        JsonHttp.Answer answer = exchange(new byte[0]);

        assertEquals(200, answer.status());
        assertEquals(0, answer.body().length);
    }

    private JsonHttp.Answer exchange(byte[] body) {
        String address = "127.0.0.1:" + server.port();
        JsonHttp http = JsonHttp.on(loops, "test", 1, Step.WORKER);
        return http.exchange(new JsonHttp.Call("POST", address, "/", Map.of(), body, TIMEOUT_MS))
                .block(LIMIT);
    }
}
