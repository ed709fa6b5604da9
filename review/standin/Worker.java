package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A sound worker as the users' pages describe it: it starts, stops and lists runs, keeps leases and fencing tokens, and
 * lists 500 ends at a time until they are acknowledged.
 */
final class Worker {
    static final int MAX_LISTED_ENDS = 500;
    private static final long HOLD_MAX_MS = 10_000;
    private static final long MAX_WAIT_MS = 2_000;
    private static final long STOP_MS = 50;

    final String id;
    final String zone;
    final String address;
    final long born;
    final int cpu;
    final int memMb;
    final List<String> labels;
    private final Cluster cluster;
    private final HttpServer server;
    private final long startNs = System.nanoTime();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long lastEnd;
    private long token;
    private long leaseUntilMs;
    private boolean closed;
    private boolean cut;

    /** Reads how long a task runs and how it ends. */
    interface Work {
        long durationMs(String spec, String task, int run);

        default String outcome(String spec, String task, int run) {
            return "done";
        }
    }

    private static final class Run {
        final int number;
        final long endsAtMs;
        final String outcome;
        long stopAtMs = Long.MAX_VALUE;

        Run(int number, long endsAtMs, String outcome) {
            this.number = number;
            this.endsAtMs = endsAtMs;
            this.outcome = outcome;
        }
    }

    private record End(long number, String task, int run, String how) {}

    /** Starts a life of a worker, at a free port if the port is 0. */
    Worker(Cluster cluster, String id, String zone, int port, int cpu, int memMb, List<String> labels) throws IOException {
        this.cluster = cluster;
        this.zone = zone;
        this.id = id;
        this.cpu = cpu;
        this.memMb = memMb;
        this.labels = labels;
        this.born = System.currentTimeMillis();
        this.server = Http.serve(port, this::handle);
        this.address = Http.address(server);
        Thread.ofVirtual().start(this::work);
    }

    /** Cuts this life off: its runs go on, and calls get no answer any more. */
    synchronized void cutOff() {
        cluster.record.line("worker %s is cut off with %d runs", id, runs.size());
        cut = true;
        notifyAll();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Ends this life: what runs here is gone, and the port no longer answers. */
    void close() {
        synchronized (this) {
            closed = true;
            runs.forEach((task, run) -> cluster.ended(this, task, run.number, "crashed"));
            runs.clear();
            notifyAll();
        }
        server.stop(0);
    }

    /** The registry entry; sequence counts the check-ins. */
    ObjectNode entry(String service, String state, long sequence) {
        ObjectNode entry = Http.object();
        entry.put("service", service).put("address", address).put("zone", zone).put("version", "v1").put("slots", 8);
        entry.put("state", state).put("cold_remaining_ms", 0).put("sequence", sequence).put("born", born);
        entry.putObject("capacity").put("cpu", cpu).put("mem_mb", memMb).put("gpu", 0);
        labels.forEach(entry.putArray("labels")::add);
        return entry;
    }

    synchronized Set<String> running() {
        return Set.copyOf(runs.keySet());
    }

    private long clockMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    private Http.Reply handle(Http.Request request) throws InterruptedException {
        String intended = request.headers().get("expected-instance");
        if (intended != null && !intended.equals(id)) {
            return new Http.Reply(421, answer());
        }
        synchronized (this) {
            Http.Reply reply = closed || cut ? Http.Reply.BROKEN : switch (request.path()) {
                case "/v1/hold" -> hold(request.body());
                case "/v1/run-start" -> start(request.body());
                case "/v1/run-stop" -> stop(request.body());
                case "/healthz" -> new Http.Reply(200, answer());
                default -> new Http.Reply(404, answer());
            };
            // what a worker that is cut off says does not arrive, and a crashed one says nothing any more
            while (cut && !closed) {
                wait();
            }
            return closed ? Http.Reply.BROKEN : reply;
        }
    }

    private ObjectNode answer() {
        return Http.object().put("clock_ms", clockMs()).put("born", born);
    }

    private Http.Reply rejected(String reason) {
        return new Http.Reply(409, answer().put("reason", reason));
    }

    private boolean stale(JsonNode body) {
        long sent = body.path("fencing_token").asLong(0);
        token = Math.max(token, sent);
        return sent < token;
    }

    private void extend(JsonNode body) {
        if (body.has("until_ms")) {
            leaseUntilMs = Math.max(leaseUntilMs, Math.min(body.path("until_ms").asLong(), clockMs() + HOLD_MAX_MS));
            notifyAll();
        }
    }

    private synchronized Http.Reply hold(JsonNode body) throws InterruptedException {
        if (stale(body)) {
            return rejected("fence");
        }
        extend(body);
        long lastSeen = body.path("last_seen").asLong(0);
        ends.removeIf(end -> {
            boolean seen = end.number <= lastSeen;
            if (seen) {
                cluster.acknowledged(this, end.task, end.run, end.how);
            }
            return seen;
        });
        long untilMs = clockMs() + Math.min(MAX_WAIT_MS, body.path("wait_ms").asLong(0));
        while (ends.isEmpty() && !closed && clockMs() < untilMs) {
            wait(Math.max(1, untilMs - clockMs()));
        }
        ObjectNode answer = answer();
        ArrayNode running = answer.putArray("running");
        runs.forEach((task, run) -> running.addArray().add(task).add(run.number).add("").add(50));
        ArrayNode finished = answer.putArray("finished");
        for (End end : ends.subList(0, Math.min(MAX_LISTED_ENDS, ends.size()))) {
            finished.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add("");
        }
        if (ends.size() > MAX_LISTED_ENDS) {
            cluster.record.line("worker %s: %d ends wait, the first %d are listed, %d runs are at work", id, ends.size(), MAX_LISTED_ENDS, runs.size());
        }
        return new Http.Reply(200, answer);
    }

    private synchronized Http.Reply start(JsonNode body) {
        if (stale(body)) {
            return rejected("fence");
        }
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run current = runs.get(task);
        if (current != null && current.number == number) {
            extend(body);
            return new Http.Reply(200, answer());
        }
        if (current != null || number <= barred.getOrDefault(task, 0)) {
            extend(body);
            return rejected("old");
        }
        if (body.path("until_ms").asLong() <= clockMs()) {
            return rejected("late");
        }
        extend(body);
        String spec = body.path("spec").asText();
        long durationMs = cluster.work.durationMs(spec, task, number);
        runs.put(task, new Run(number, clockMs() + durationMs, cluster.work.outcome(spec, task, number)));
        notifyAll();
        cluster.started(this, task, number, spec);
        return new Http.Reply(200, answer());
    }

    private synchronized Http.Reply stop(JsonNode body) {
        if (stale(body)) {
            return rejected("fence");
        }
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run run = runs.get(task);
        if (run != null && run.number <= number) {
            run.stopAtMs = Math.min(run.stopAtMs, clockMs() + STOP_MS);
            notifyAll();
        }
        barred.merge(task, number, Math::max);
        return new Http.Reply(200, answer());
    }

    /** Ends runs that are due, are stopped, or whose lease has run out. */
    private synchronized void work() {
        try {
            while (!closed) {
                long nowMs = clockMs();
                long nextMs = nowMs + 1_000;
                boolean ended = false;
                for (Map.Entry<String, Run> entry : List.copyOf(runs.entrySet())) {
                    Run run = entry.getValue();
                    long dueMs = Math.min(run.endsAtMs, run.stopAtMs);
                    if (nowMs >= dueMs || nowMs >= leaseUntilMs) {
                        String how = nowMs >= dueMs ? run.endsAtMs <= run.stopAtMs ? run.outcome : "stopped" : "lapsed";
                        runs.remove(entry.getKey());
                        barred.merge(entry.getKey(), run.number, Math::max);
                        ends.add(new End(++lastEnd, entry.getKey(), run.number, how));
                        cluster.ended(this, entry.getKey(), run.number, how);
                        ended = true;
                    } else {
                        nextMs = Math.min(nextMs, Math.min(dueMs, leaseUntilMs));
                    }
                }
                if (ended) {
                    notifyAll();
                }
                wait(Math.max(1, nextMs - clockMs()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
