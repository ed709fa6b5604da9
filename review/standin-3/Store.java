import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store: rows in tables, transactions and the feed of changes. */
final class Store implements AutoCloseable {
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROWS = 500;
    private static final long ANSWER_MS = 4;

    private final TreeMap<List<String>, Row> rows =
            new TreeMap<>(Comparator.<List<String>, String>comparing(key -> key.get(0))
                    .thenComparing(key -> key.get(1))
                    .thenComparing(key -> key.get(2)));
    private final Web.Server server;
    private final long startedNs = System.nanoTime();
    private long version;

    Store() throws Exception {
        server = Web.listen("127.0.0.1", this::answer);
    }

    String address() {
        return server.address();
    }

    /** Writes a row with an empty part, as the operator and the workers do. */
    synchronized void put(String table, String key, ObjectNode value) {
        String text = Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
        set(table, "", key, text, false);
    }

    synchronized void remove(String table, String key) {
        if (rows.containsKey(List.of(table, "", key))) {
            set(table, "", key, "", true);
        }
    }

    @Override
    public void close() {
        server.close();
    }

    private void set(String table, String part, String key, String value, boolean deleted) {
        version++;
        rows.put(List.of(table, part, key), new Row(table, part, key, value, version, deleted));
        notifyAll();
    }

    private Web.Reply answer(Web.Request request) throws Exception {
        Thread.sleep(ANSWER_MS);
        return switch (request.path()) {
            case "/v1/rows-tx" -> transaction(request.json());
            case "/v1/rows-get" -> read(request.query());
            case "/v1/rows-feed" -> feed(request.query());
            default -> new Web.Reply(404, Web.object());
        };
    }

    private synchronized Web.Reply transaction(JsonNode body) {
        int entries = body.path("expected_rev").size() + body.path("writes").size() + body.path("remove").size();
        if (entries > MAX_ENTRIES) {
            return new Web.Reply(400, Web.object());
        }
        ObjectNode answer = Web.object();
        ArrayNode current = answer.putArray("rows");
        boolean conflict = false;
        for (JsonNode expected : body.path("expected_rev")) {
            Row row = rows.get(key(expected));
            long ver = row == null || row.deleted ? 0 : row.ver;
            conflict |= ver != expected.path("ver").asLong();
            if (ver != 0) {
                row.write(current.addObject());
            }
        }
        for (String list : List.of("writes", "remove")) {
            for (JsonNode row : body.path(list)) {
                if (List.of("op", "servers").contains(row.path("table").asText())) {
                    return new Web.Reply(403, Web.object());
                }
            }
        }
        if (conflict) {
            return new Web.Reply(412, stamp(answer));
        }
        version++;
        body.path("writes").forEach(row -> put(row, row.path("value").asText(), false));
        body.path("remove").forEach(row -> put(row, "", true));
        notifyAll();
        return new Web.Reply(200, stamp(Web.object()));
    }

    private void put(JsonNode row, String value, boolean deleted) {
        List<String> key = key(row);
        rows.put(key, new Row(key.get(0), key.get(1), key.get(2), value, version, deleted));
    }

    private static List<String> key(JsonNode row) {
        return List.of(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    private synchronized Web.Reply read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String to = query.get("to");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        ObjectNode answer = Web.object();
        ArrayNode found = answer.putArray("rows");
        boolean truncated = false;
        for (Row row : rows.tailMap(List.of(query.get("table"), query.getOrDefault("part", ""), from)).values()) {
            if (!row.table.equals(query.get("table")) || !row.part.equals(query.getOrDefault("part", ""))) {
                break;
            }
            if (row.deleted || to != null && row.key.compareTo(to) >= 0) {
                continue;
            }
            truncated = found.size() == limit;
            if (truncated) {
                break;
            }
            row.write(found.addObject());
        }
        answer.put("truncated", truncated);
        return new Web.Reply(200, stamp(answer));
    }

    private synchronized Web.Reply feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        List<Row> changed = changed(query.get("table"), after);
        while (changed.isEmpty() && nowMs() < untilMs) {
            wait(Math.max(1, untilMs - nowMs()));
            changed = changed(query.get("table"), after);
        }
        ObjectNode answer = Web.object();
        ArrayNode found = answer.putArray("rows");
        changed.forEach(row -> row.write(found.addObject()));
        return new Web.Reply(200, stamp(answer));
    }

    private List<Row> changed(String table, long after) {
        List<Row> changed = new ArrayList<>();
        rows.values().stream().filter(row -> row.table.equals(table) && row.ver > after).forEach(changed::add);
        changed.sort(Comparator.comparingLong(row -> row.ver));
        return changed;
    }

    private ObjectNode stamp(ObjectNode answer) {
        return answer.put("ver", version).put("now_ms", nowMs());
    }

    private long nowMs() {
        return 1_000_000 + (System.nanoTime() - startedNs) / 1_000_000;
    }

    private record Row(String table, String part, String key, String value, long ver, boolean deleted) {
        private void write(ObjectNode node) {
            node.put("table", table).put("part", part).put("key", key).put("value", value).put("ver", ver);
            if (deleted) {
                node.put("deleted", true);
            }
        }
    }
}
