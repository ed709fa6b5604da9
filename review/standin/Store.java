package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store: conditional transactions, range reads and a feed, with the limits of the users' pages. */
final class Store {
    static final int MAX_ENTRIES = 100;
    static final int MAX_CALL_BYTES = 1 << 20;
    static final int ROW_BYTES = 65_536;
    static final long TX_MS = 5;
    private static final long ANSWER_MS = 4;
    private static final int PAGE_ROWS = 500;

    private final Record record;
    private final NavigableMap<String, Row> rows = new TreeMap<>();
    private final Map<String, Object> partitions = new ConcurrentHashMap<>();
    private long version;
    /** The number of transactions that were refused because a row or the call was too large. */
    volatile int oversized;
    /** The length of the longest value in any transaction so far. */
    volatile int longestValue;

    Store(Record record) {
        this.record = record;
    }

    private record Row(String table, String part, String key, byte[] value, long version, boolean removed) {}

    private static String name(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    /** Writes a row as the operator or a worker. */
    synchronized void put(String table, String key, byte[] value) {
        version++;
        rows.put(name(table, "", key), new Row(table, "", key, value, version, false));
        notifyAll();
    }

    synchronized void drop(String table, String key) {
        version++;
        rows.put(name(table, "", key), new Row(table, "", key, new byte[0], version, true));
        notifyAll();
    }

    Http.Reply handle(Http.Request request) throws InterruptedException {
        Http.Reply reply = switch (request.path()) {
            case "/v1/rows-tx" -> commit(request);
            case "/v1/rows-get" -> read(request.query());
            case "/v1/rows-feed" -> feed(request.query());
            default -> new Http.Reply(404, Http.object());
        };
        Thread.sleep(ANSWER_MS);
        return reply;
    }

    private Http.Reply commit(Http.Request request) throws InterruptedException {
        JsonNode body = request.body();
        int entries = body.path("expected_rev").size() + body.path("writes").size() + body.path("remove").size();
        String part = null;
        int largest = 0;
        for (String list : List.of("expected_rev", "writes", "remove")) {
            for (JsonNode entry : body.path(list)) {
                String own = entry.path("part").asText();
                if (part != null && !part.equals(own)) {
                    return new Http.Reply(400, Http.object());
                }
                part = own;
                String table = entry.path("table").asText();
                if (!list.equals("expected_rev") && (table.equals("op") || table.equals("servers"))) {
                    return new Http.Reply(403, Http.object());
                }
                if (list.equals("writes")) {
                    largest = Math.max(largest, Base64.getDecoder().decode(entry.path("value").asText()).length);
                }
            }
        }
        longestValue = Math.max(longestValue, largest);
        if (entries > MAX_ENTRIES || request.bytes() > MAX_CALL_BYTES || largest > ROW_BYTES) {
            if (++oversized % 50 == 1) {
                record.line("store: transaction refused with 400: %d entries, %d bytes, largest row %d bytes (limits %d, %d, %d); %d so far",
                        entries, request.bytes(), largest, MAX_ENTRIES, MAX_CALL_BYTES, ROW_BYTES, oversized);
            }
            return new Http.Reply(400, Http.object());
        }
        synchronized (partitions.computeIfAbsent(String.valueOf(part), key -> new Object())) {
            Thread.sleep(TX_MS);
            return apply(body);
        }
    }

    private synchronized Http.Reply apply(JsonNode body) {
        ObjectNode answer = answer();
        ArrayNode differing = answer.putArray("rows");
        boolean conflict = false;
        for (JsonNode condition : body.path("expected_rev")) {
            Row row = rows.get(rowName(condition));
            long current = row == null || row.removed ? 0 : row.version;
            conflict |= current != condition.path("ver").asLong();
            if (row != null && !row.removed) {
                encode(differing.addObject(), row);
            }
        }
        if (conflict) {
            return new Http.Reply(412, answer);
        }
        answer.remove("rows");
        version++;
        for (JsonNode write : body.path("writes")) {
            byte[] value = Base64.getDecoder().decode(write.path("value").asText());
            rows.put(rowName(write), new Row(write.path("table").asText(), write.path("part").asText(), write.path("key").asText(), value, version, false));
        }
        for (JsonNode removal : body.path("remove")) {
            rows.put(rowName(removal), new Row(removal.path("table").asText(), removal.path("part").asText(), removal.path("key").asText(), new byte[0], version, true));
        }
        notifyAll();
        return new Http.Reply(200, answer.put("ver", version));
    }

    private synchronized Http.Reply read(Map<String, String> query) {
        String table = query.getOrDefault("table", "");
        String part = query.getOrDefault("part", "");
        String to = query.get("to");
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        ObjectNode answer = answer();
        ArrayNode found = answer.putArray("rows");
        long bytes = 0;
        for (Row row : rows.tailMap(name(table, part, query.getOrDefault("from", "")), true).values()) {
            if (!row.table.equals(table) || !row.part.equals(part) || to != null && row.key.compareTo(to) >= 0) {
                break;
            }
            if (row.removed) {
                continue;
            }
            if (found.size() == limit || bytes + row.value.length > MAX_CALL_BYTES) {
                return new Http.Reply(200, answer.put("truncated", true));
            }
            bytes += row.value.length;
            encode(found.addObject(), row);
        }
        return new Http.Reply(200, answer.put("truncated", false));
    }

    private synchronized Http.Reply feed(Map<String, String> query) throws InterruptedException {
        String table = query.getOrDefault("table", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long endMs = System.nanoTime() / 1_000_000 + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.tailMap(table + "\0", true).values()) {
                if (!row.table.equals(table)) {
                    break;
                }
                if (row.version > after) {
                    changed.add(row);
                }
            }
            long leftMs = endMs - System.nanoTime() / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) {
                changed.sort((a, b) -> Long.compare(a.version, b.version));
                ObjectNode answer = answer();
                ArrayNode found = answer.putArray("rows");
                changed.forEach(row -> encode(found.addObject(), row));
                return new Http.Reply(200, answer);
            }
            wait(leftMs);
        }
    }

    private ObjectNode answer() {
        return Http.object().put("ver", version).put("now_ms", System.nanoTime() / 1_000_000);
    }

    private static String rowName(JsonNode entry) {
        return name(entry.path("table").asText(), entry.path("part").asText(), entry.path("key").asText());
    }

    private static void encode(ObjectNode node, Row row) {
        node.put("table", row.table).put("part", row.part).put("key", row.key);
        node.put("value", Base64.getEncoder().encodeToString(row.value)).put("ver", row.version);
        if (row.removed) {
            node.put("deleted", true);
        }
    }
}
