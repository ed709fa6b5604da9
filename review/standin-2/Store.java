import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store in memory: conditional transactions, range reads and feeds, with one port for each caller. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();

    /** Time of a transaction, as in the settings of a small deployment. */
    private static final long TX_MS = 5;

    private static final long SILENT_MS = 120_000;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_ROWS = 500;

    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key that) {
            int order = table.compareTo(that.table);
            order = order != 0 ? order : part.compareTo(that.part);
            return order != 0 ? order : key.compareTo(that.key);
        }
    }

    private record Row(String value, long ver, boolean deleted) {}

    /** Decides what happens to a call of one caller; it may block first, and returns whether the call is answered. */
    interface Gate {
        boolean answers(String caller, String path, JsonNode body) throws Exception;
    }

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private long version;
    private volatile String lastConditionalWriter = "";
    private volatile Gate gate = (caller, path, body) -> true;

    /** Sets what decides on each call before it is performed. */
    void gate(Gate value) {
        gate = value;
    }

    /** Returns the caller that last renewed the lease row of the system, which is the machine that leads. */
    String lastLeaseWriter() {
        return lastConditionalWriter;
    }

    /** Opens a port for one caller, and returns its address. */
    String open(String caller) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            try {
                serve(caller, exchange);
            } catch (Exception e) {
                exchange.close();
            }
        });
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String table, String key, JsonNode value) {
        rows.put(new Key(table, "", key), new Row(encode(value), ++version, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        rows.put(new Key(table, "", key), new Row("", ++version, true));
        notifyAll();
    }

    private static String encode(JsonNode value) {
        return Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void serve(String caller, HttpExchange exchange) throws Exception {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        boolean answers = gate.answers(caller, path, body);
        ObjectNode answer = JSON.createObjectNode();
        int status =
                switch (path) {
                    case "/v1/rows-tx" -> transact(caller, body, answer);
                    case "/v1/rows-get" -> read(query, answer);
                    case "/v1/rows-feed" -> feed(query, answer);
                    default -> 404;
                };
        if (!answers) {
            // the channel delivers nothing further
            Thread.sleep(SILENT_MS);
        }
        reply(exchange, status, answer);
    }

    static void reply(HttpExchange exchange, int status, JsonNode answer) throws IOException {
        byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int transact(String caller, JsonNode body, ObjectNode answer) throws InterruptedException {
        Thread.sleep(TX_MS);
        synchronized (this) {
            int entries = body.path("expected_rev").size()
                    + body.path("writes").size()
                    + body.path("remove").size();
            if (entries > MAX_ENTRIES) {
                return 400;
            }
            for (JsonNode write : body.path("writes")) {
                if (Base64.getDecoder().decode(write.path("value").asText()).length > MAX_ROW_BYTES) {
                    return 400;
                }
                if (write.path("table").asText().equals("op") || write.path("table").asText().equals("servers")) {
                    return 403;
                }
            }
            boolean met = true;
            ArrayNode current = JSON.createArrayNode();
            for (JsonNode condition : body.path("expected_rev")) {
                Key key = key(condition);
                Row row = rows.get(key);
                long ver = row == null || row.deleted ? 0 : row.ver;
                met &= ver == condition.path("ver").asLong();
                if (ver > 0) {
                    encode(current.addObject(), key, row);
                }
            }
            answer.put("now_ms", nowMs());
            if (!met) {
                answer.put("ver", version).set("rows", current);
                return 412;
            }
            long ver = ++version;
            for (JsonNode write : body.path("writes")) {
                rows.put(key(write), new Row(write.path("value").asText(), ver, false));
                if (write.path("table").asText().equals("leases")) {
                    lastConditionalWriter = caller;
                }
            }
            for (JsonNode removal : body.path("remove")) {
                rows.put(key(removal), new Row("", ver, true));
            }
            notifyAll();
            answer.put("ver", ver);
            return 200;
        }
    }

    private synchronized int read(Map<String, String> query, ObjectNode answer) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        String from = query.getOrDefault("from", "");
        String to = query.get("to");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
        ArrayNode found = answer.put("ver", version).put("now_ms", nowMs()).putArray("rows");
        boolean truncated = false;
        for (Map.Entry<Key, Row> entry :
                rows.tailMap(new Key(table, part, from), true).entrySet()) {
            Key key = entry.getKey();
            if (!key.table.equals(table) || !key.part.equals(part) || to != null && key.key.compareTo(to) >= 0) {
                break;
            }
            if (entry.getValue().deleted) {
                continue;
            }
            if (found.size() == limit) {
                truncated = true;
                break;
            }
            encode(found.addObject(), key, entry.getValue());
        }
        answer.put("truncated", truncated);
        return 200;
    }

    private synchronized int feed(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long untilMs = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        while (true) {
            TreeMap<Long, List<Map.Entry<Key, Row>>> changed = new TreeMap<>();
            for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                if (entry.getKey().table.equals(table) && entry.getValue().ver > after) {
                    changed.computeIfAbsent(entry.getValue().ver, ver -> new ArrayList<>()).add(entry);
                }
            }
            long leftMs = untilMs - nowMs();
            if (!changed.isEmpty() || leftMs <= 0) {
                ArrayNode found = answer.put("ver", version).put("now_ms", nowMs()).putArray("rows");
                changed.values().forEach(all -> all.forEach(one -> encode(found.addObject(), one.getKey(), one.getValue())));
                return 200;
            }
            wait(leftMs);
        }
    }

    private static Key key(JsonNode row) {
        return new Key(
                row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    private static void encode(ObjectNode out, Key key, Row row) {
        out.put("table", key.table).put("part", key.part).put("key", key.key);
        out.put("value", row.value).put("ver", row.ver);
        if (row.deleted) {
            out.put("deleted", true);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
