package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Serves JSON over HTTP/1.1 on a loopback port, a free one for port 0. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    }

    private Http() {}

    /** A request; bytes is the length of its body. */
    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, JsonNode body, int bytes) {}

    /** A reply; without a status, the connection is closed instead. */
    record Reply(int status, ObjectNode body) {
        static final Reply BROKEN = new Reply(0, null);
    }

    @FunctionalInterface
    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1024);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] content = exchange.getRequestBody().readAllBytes();
            JsonNode body = content.length == 0 ? object() : JSON.readTree(content);
            Map<String, String> query = new TreeMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int at = pair.indexOf('=');
                    query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
                }
            }
            Map<String, String> headers = new TreeMap<>();
            exchange.getRequestHeaders().forEach((name, values) -> headers.put(name.toLowerCase(), values.getFirst()));
            Reply reply = handler.handle(new Request(
                    exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, headers, body, content.length));
            if (reply.status == 0) {
                return;
            }
            byte[] bytes = JSON.writeValueAsBytes(reply.body);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // the caller has closed the connection
        } catch (Exception e) {
            e.printStackTrace();
        }
    }
}
