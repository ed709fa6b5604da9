package org.acaciafold.entry;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.acaciafold.core.model.AcaciafoldException;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClientServerTest {
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final String REQUEST = "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n";

    private final HostEventLoop loop = HostEventLoop.start();
    private volatile boolean draining;

    @Test
    void shouldCloseAConnectionAfterItsAnswerWhenTheHostIsLeaving() throws Exception {
        int port = freePort();
        ClientServer server = listen(port);
        try (Socket open = new Socket("127.0.0.1", port)) {
            open.setSoTimeout(READ_TIMEOUT_MS);
            assertTrue(exchange(open).contains("200"));
            draining = true;

            assertTrue(exchange(open).toLowerCase(Locale.ROOT).contains("connection: close"));
            assertEquals("", exchange(open));
            await().until(() -> !server.hasOpenRequests());
        } finally {
            server.close();
        }
    }

    @Test
    void shouldHaveClosedIdleConnectionsWhenCloseReturns() throws Exception {
        int port = freePort();
        ClientServer server = listen(port);
        try (Socket idle = new Socket("127.0.0.1", port)) {
            idle.setSoTimeout(READ_TIMEOUT_MS);
            assertTrue(exchange(idle).contains("200"));

            server.close();

            assertEquals("", exchange(idle));
        }
    }

    @Test
    void shouldRejectABodyThatDoesNotEnd() throws Exception {
        int port = freePort();
        ClientServer server = listen(port);
        try (Socket endless = new Socket("127.0.0.1", port)) {
            endless.setSoTimeout(READ_TIMEOUT_MS);
            String head = "POST /jobs/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2000000000\r\n\r\n";
            endless.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            endless.getOutputStream().write(new byte[300_000]);

            assertTrue(read(endless).contains("413"));
        } finally {
            server.close();
        }
    }

    private ClientServer listen(int port) throws AcaciafoldException {
        return ClientServer.listen(
                "127.0.0.1:" + port,
                loop,
                request -> Mono.just(ClientReply.of(200)),
                new HostMetrics(),
                () -> draining);
    }

    private static String exchange(Socket socket) throws IOException {
        try {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            return read(socket);
        } catch (SocketException e) {
            // a failed write or a reset also proves that the connection is closed
            return "";
        }
    }

    private static String read(Socket socket) throws IOException {
        byte[] buffer = new byte[4_096];
        int read = socket.getInputStream().read(buffer);
        return read < 0 ? "" : new String(buffer, 0, read, StandardCharsets.US_ASCII);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
