import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP with JSON bodies: servers of the stand-ins, and the calls of consumers. */
final class Web {
    static final ObjectMapper JSON = new ObjectMapper();

    private Web() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Listens on an unused port; each request is handled on a thread of its own. */
    static Server listen(String ip, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        server.setExecutor(threads);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return new Server(server, threads);
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new TreeMap<>();
            String text = exchange.getRequestURI().getRawQuery();
            for (String pair : text == null ? new String[0] : text.split("&")) {
                int equals = pair.indexOf('=');
                query.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
            }
            Request request = new Request(
                    exchange.getRequestURI().getPath(),
                    query,
                    exchange.getRequestHeaders().getFirst("Expected-Instance"),
                    body.length == 0 ? object() : JSON.readTree(body));
            Reply reply = handler.handle(request);
            byte[] bytes = reply.body().toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            e.printStackTrace();
            throw new IOException(e);
        }
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    /** Makes a call on a connection of its own; status 0 means that there was no complete answer. */
    static Answer call(String address, String method, String path, Map<String, String> headers, String body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nConnection: close\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length).append("\r\n\r\n");
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMs);
            socket.setSoTimeout(timeoutMs);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            return end < 0 ? new Answer(0, "") : new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
        } catch (IOException | NumberFormatException e) {
            return new Answer(0, "");
        }
    }

    /** Handles a request. */
    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    record Request(String path, Map<String, String> query, String instance, JsonNode json) {}

    record Reply(int status, ObjectNode body) {}

    record Answer(int status, String body) {}

    /** A running HTTP server. */
    record Server(HttpServer http, ExecutorService threads) implements AutoCloseable {
        String address() {
            return http.getAddress().getAddress().getHostAddress() + ":" + http.getAddress().getPort();
        }

        @Override
        public void close() {
            http.stop(0);
            threads.shutdownNow();
        }
    }
}
