package org.acaciafold.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.acaciafold.wire.Addresses;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HttpListenerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final String REQUEST = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @Test
    void shouldHaveClosedIdleConnectionsWhenStopReturns() throws Exception {
        HttpListener listener = HttpListener.bind(
                "test",
                "127.0.0.1:0",
                routes -> routes.get("/healthz", (request, response) -> response.sendString(Mono.just("fine"))));
        InetSocketAddress address = Addresses.parse(listener.address());
        try (Socket idle = new Socket(address.getAddress(), address.getPort())) {
            idle.setSoTimeout(Math.toIntExact(LIMIT.toMillis()));
            assertTrue(answer(idle).contains("200"));

            assertFalse(listener.stop(LIMIT));

            assertEquals("", answer(idle));
        }
    }

    /** Sends a request and returns what is answered, empty when the connection is closed. */
    private static String answer(Socket socket) throws IOException {
        try {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[4_096];
            int read = in.read(buffer);
            return read < 0 ? "" : new String(buffer, 0, read, StandardCharsets.US_ASCII);
        } catch (java.net.SocketException e) {
            // a write to a closed connection, or a reset, is as good as its end
            return "";
        }
    }
}
