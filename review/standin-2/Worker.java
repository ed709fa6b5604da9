import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A worker: it runs tasks on orders, holds leases and registers itself in the store.
 *
 * <p>The text of the work says how a run goes: {@code ms=500} ends as done after that time, {@code last} never ends by itself.
 */
final class Worker {
    private static final long HEARTBEAT_MS = 1_500;
    private static final long MISSED_HEARTBEATS = 3;
    private static final long HOLD_MAX_MS = 10_000;
    private static final long MAX_WAIT_MS = 2_000;

    /** Longer than a case lasts: a channel to a machine without power stays open and delivers nothing. */
    private static final long SILENT_MS = 120_000;

    private static final class Run {
        private int number;
        private long endsAtMs;
    }

    private record End(long number, String task, int run, String how) {}

    final String id;
    final String zone;
    private final String service;
    private final Store store;
    private final CaseRecord record;
    private HttpServer server;
    private ExecutorService threads;
    private int port;
    private volatile boolean up;
    private volatile boolean dark;
    private volatile boolean closed;
    private long born;
    private long startedAtMs;
    private long sequence;
    private long downAtMs;
    private long token;
    private long lastEnd;
    private long leaseUntilMs;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();

    Worker(String id, String zone, String service, Store store, CaseRecord record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.store = store;
        this.record = record;
        start();
        Thread.ofVirtual().start(this::beat);
    }

    /** Ends the process at once; all that it ran and knew is lost. It comes back under its identifier. */
    void crash(long downMs) throws InterruptedException, IOException {
        synchronized (this) {
            record.line("crash", id + " for " + downMs + " ms, runs " + runs.keySet());
            up = false;
            downAtMs = nowMs();
            runs.keySet().forEach(task -> record.ended(task, id, "crashed"));
            runs.clear();
            ends.clear();
            highestEnded.clear();
            token = 0;
            lastEnd = 0;
            leaseUntilMs = 0;
            notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
        Thread.sleep(downMs);
        start();
        record.line("back", id + " born " + born);
    }

    /** Loses power for good: it answers nothing any more, and nobody hears that it has ended. */
    synchronized void goDark() {
        record.line("dark", id + " for good, runs " + runs.keySet());
        dark = true;
        up = false;
        downAtMs = nowMs();
        runs.keySet().forEach(task -> record.ended(task, id, "lost with its worker"));
        runs.clear();
    }

    synchronized boolean runs(String job) {
        return up && runs.keySet().stream().anyMatch(task -> task.startsWith(job + "."));
    }

    void close() {
        closed = true;
        if (server != null) {
            server.stop(0);
        }
    }

    private synchronized void start() throws IOException {
        threads = Executors.newVirtualThreadPerTaskExecutor();
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        port = server.getAddress().getPort();
        server.setExecutor(threads);
        server.createContext("/v1/", exchange -> {
            try {
                serve(exchange);
            } catch (Exception e) {
                exchange.close();
            }
        });
        born = System.currentTimeMillis();
        startedAtMs = nowMs();
        sequence = 0;
        up = true;
        register();
        server.start();
    }

    private synchronized void register() {
        ObjectNode entry = Store.JSON.createObjectNode();
        entry.put("service", service).put("address", "127.0.0.1:" + port).put("zone", zone);
        entry.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
        entry.putObject("capacity").put("cpu", 16_000).put("mem_mb", 32_768).put("gpu", 0);
        entry.putArray("labels").add("a").add("r1-1");
        entry.put("clock_ms", clockMs()).put("sequence", ++sequence).put("born", born);
        store.put("servers", id, entry);
    }

    private void beat() {
        boolean registered = true;
        long beatAtMs = nowMs();
        while (!closed) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (up) {
                    sweep();
                    if (nowMs() - beatAtMs >= HEARTBEAT_MS) {
                        beatAtMs = nowMs();
                        register();
                    }
                    registered = true;
                } else if (registered && nowMs() - downAtMs > MISSED_HEARTBEATS * HEARTBEAT_MS) {
                    registered = false;
                    store.remove("servers", id);
                }
            }
        }
    }

    private void serve(HttpExchange exchange) throws Exception {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        if (dark) {
            Thread.sleep(SILENT_MS);
        }
        JsonNode body = Store.JSON.readTree(bytes);
        if (!id.equals(exchange.getRequestHeaders().getFirst("Expected-Instance"))) {
            Store.reply(exchange, 421, answer());
            return;
        }
        ObjectNode answer;
        int status;
        synchronized (this) {
            answer = answer();
            long call = body.path("fencing_token").asLong();
            if (call < token) {
                Store.reply(exchange, 409, answer.put("reason", "fence"));
                return;
            }
            token = call;
            sweep();
            status =
                    switch (exchange.getRequestURI().getPath()) {
                        case "/v1/run-start" -> startRun(body, answer);
                        case "/v1/run-stop" -> stopRun(body);
                        case "/v1/hold" -> hold(body, answer);
                        default -> 404;
                    };
            answer.put("clock_ms", clockMs());
        }
        if (dark) {
            Thread.sleep(SILENT_MS);
        }
        Store.reply(exchange, status, answer);
    }

    private ObjectNode answer() {
        return Store.JSON.createObjectNode().put("clock_ms", clockMs()).put("born", born);
    }

    private int startRun(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run present = runs.get(task);
        if (present != null && present.number == number) {
            extend(body);
            return 200;
        }
        if (present != null || number <= highestEnded.getOrDefault(task, 0)) {
            extend(body);
            answer.put("reason", "old");
            return 409;
        }
        if (body.path("until_ms").asLong() <= clockMs()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(body);
        String spec = body.path("spec").asText();
        Run run = new Run();
        run.number = number;
        run.endsAtMs = spec.startsWith("ms=") ? clockMs() + Long.parseLong(spec.substring(3)) : Long.MAX_VALUE;
        runs.put(task, run);
        record.started(task, number, id, spec);
        return 200;
    }

    private int stopRun(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run run = runs.get(task);
        if (run != null && run.number <= number) {
            runs.remove(task);
            end(task, run, "stopped");
        }
        highestEnded.merge(task, number, Math::max);
        return 200;
    }

    private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
        extend(body);
        long seen = body.path("last_seen").asLong();
        ends.removeIf(end -> end.number <= seen);
        long untilMs = nowMs() + Math.min(MAX_WAIT_MS, body.path("wait_ms").asLong());
        long life = born;
        while (ends.isEmpty() && nowMs() < untilMs && (up || dark) && life == born) {
            wait(Math.max(1, untilMs - nowMs()));
        }
        if (life != born || !up && !dark) {
            throw new IllegalStateException("the process has ended");
        }
        ArrayNode running = answer.putArray("running");
        runs.forEach((task, run) ->
                running.addArray().add(task).add(run.number).add("").add(100).add(0));
        ArrayNode finished = answer.putArray("finished");
        ends.stream().limit(500).forEach(end ->
                finished.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(""));
        return 200;
    }

    private void extend(JsonNode body) {
        if (body.has("until_ms")) {
            long latestMs = clockMs() + HOLD_MAX_MS;
            leaseUntilMs = Math.max(leaseUntilMs, Math.min(body.path("until_ms").asLong(), latestMs));
        }
    }

    /** Ends the runs that are done, and kills all others when the lease has run out. */
    private synchronized void sweep() {
        long now = clockMs();
        for (Iterator<Map.Entry<String, Run>> all = runs.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<String, Run> one = all.next();
            Run run = one.getValue();
            if (now >= run.endsAtMs && run.endsAtMs <= leaseUntilMs) {
                all.remove();
                end(one.getKey(), run, "done");
            } else if (now >= leaseUntilMs) {
                all.remove();
                end(one.getKey(), run, "lapsed");
            }
        }
    }

    private void end(String task, Run run, String how) {
        ends.add(new End(++lastEnd, task, run.number, how));
        highestEnded.merge(task, run.number, Math::max);
        record.ended(task, id, how);
        notifyAll();
    }

    private long clockMs() {
        return nowMs() - startedAtMs;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
