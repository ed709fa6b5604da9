package org.acaciafold.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.wire.Addresses;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HttpListenerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final int CONNECTIONS = 50;
    private static final int REQUESTS = 400;
    private static final String ELSEWHERE = "GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String REQUEST = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @Test
    void shouldHaveClosedIdleConnectionsWhenStopReturns() throws Exception {
        HttpListener listener = listen();
        InetSocketAddress address = Addresses.parse(listener.address());
        try (Socket idle = new Socket(address.getAddress(), address.getPort())) {
            idle.setSoTimeout(Math.toIntExact(LIMIT.toMillis()));
            assertTrue(answer(idle).contains("200"));

            assertFalse(listener.stop(LIMIT));

            assertEquals("", answer(idle));
        }
    }

    @Test
    void shouldNotAnswerAfterStopWhenRequestsAreInProgress() throws Exception {
        HttpListener listener = listen();
        InetSocketAddress address = Addresses.parse(listener.address());
        CountDownLatch busy = new CountDownLatch(CONNECTIONS);
        CountDownLatch stopped = new CountDownLatch(1);
        List<CompletableFuture<String>> afterwards = new ArrayList<>();
        for (int connection = 0; connection < CONNECTIONS; connection++) {
            afterwards.add(CompletableFuture.supplyAsync(
                    () -> answerAfterStop(address, busy, stopped), command -> new Thread(command).start()));
        }
        busy.await();

        assertFalse(listener.stop(LIMIT));

        stopped.countDown();
        for (CompletableFuture<String> answer : afterwards) {
            assertEquals("", answer.get(LIMIT.toSeconds(), TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against responses written outside the event loop of the connection, after which the request after the next
     * one may stay unread.
     */
    @Test
    void shouldAnswerEachRequestWhenTheAnswersComeFromOtherThreads() throws Exception {
        HttpListener listener = listen();
        InetSocketAddress address = Addresses.parse(listener.address());
        AtomicBoolean done = new AtomicBoolean();
        // busy threads preempt the answering threads between the write of a response and its completion
        for (int thread = 0; thread < 2 * Runtime.getRuntime().availableProcessors(); thread++) {
            Thread.ofPlatform().daemon().start(() -> spin(done));
        }
        List<CompletableFuture<Integer>> answered = new ArrayList<>();
        for (int connection = 0; connection < CONNECTIONS; connection++) {
            answered.add(
                    CompletableFuture.supplyAsync(() -> answered(address), command -> new Thread(command).start()));
        }

        try {
            for (CompletableFuture<Integer> count : answered) {
                assertEquals(REQUESTS, count.get());
            }
        } finally {
            done.set(true);
            listener.stop(LIMIT);
        }
    }

    private static Mono<Void> fine(HttpServerResponse response) {
        return HttpAnswers.text(response, 200, "text/plain", "fine");
    }

    private static void spin(AtomicBoolean done) {
        while (!done.get()) {
            Thread.onSpinWait();
        }
    }

    private static HttpListener listen() throws AcaciafoldException {
        return HttpListener.bind(
                "test",
                "127.0.0.1:0",
                routes -> routes.get("/healthz", (request, response) -> fine(response))
                        .get(
                                "/elsewhere",
                                (request, response) -> Mono.just(response)
                                        .publishOn(Schedulers.parallel())
                                        .flatMap(HttpListenerTest::fine)));
    }

    /** Sends requests on one connection until the listener has stopped; returns the answer to one more request. */
    private static String answerAfterStop(InetSocketAddress address, CountDownLatch busy, CountDownLatch stopped) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(Math.toIntExact(LIMIT.toMillis()));
            answer(socket);
            busy.countDown();
            while (stopped.getCount() > 0 && !answer(socket).isEmpty()) {
                Thread.onSpinWait();
            }
            stopped.await();
            return answer(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Sends requests in sequence on one connection and returns how many are answered before one is not. */
    private static int answered(InetSocketAddress address) {
        int count = 0;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(Math.toIntExact(LIMIT.toMillis()));
            while (count < REQUESTS
                    && answer(socket, count % 2 == 0 ? ELSEWHERE : REQUEST).contains("200")) {
                count++;
            }
        } catch (SocketTimeoutException e) {
            return count;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return count;
    }

    /** Sends a request and returns the answer, empty when the connection is closed. */
    private static String answer(Socket socket) throws IOException {
        return answer(socket, REQUEST);
    }

    private static String answer(Socket socket, String request) throws IOException {
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[4_096];
            int read = in.read(buffer);
            return read < 0 ? "" : new String(buffer, 0, read, StandardCharsets.US_ASCII);
        } catch (java.net.SocketException e) {
            // a write to a closed connection or a reset also means that the connection is closed
            return "";
        }
    }
}
