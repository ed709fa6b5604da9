import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a worker behind a proxy. The `spec` of a task says what it does: `work N` ends as done after N ms, `last`
 * runs until it is stopped.
 */
final class Worker implements AutoCloseable {
    /** Calls that all workers have got. */
    static final AtomicInteger REQUESTS = new AtomicInteger();

    private static final long HEARTBEAT_MS = 1_500;
    private static final long LEASE_MAX_MS = 10_000;
    private static final int MAX_LISTED_ENDS = 500;
    private static final long STEP_MS = 5;
    private static final long LATEST_MS = 12_000;

    final String id;
    final Proxy proxy;
    private final Store store;
    private final Record record;
    private final String zone;
    private final int cpu;
    private final Web.Server server;
    private volatile Life life;
    private volatile boolean down;
    private volatile boolean closed;
    private volatile boolean deferNextStart;
    private volatile Deferred deferred;
    private volatile String losesAnswerAfter = "";
    private long sequence;

    Worker(String id, String zone, int cpu, Store store, Record record) throws Exception {
        this.id = id;
        this.zone = zone;
        this.cpu = cpu;
        this.store = store;
        this.record = record;
        this.life = new Life();
        this.server = Web.listen("127.0.0.1", this::answer);
        this.proxy = new Proxy(server.address());
        Thread.ofVirtual().start(this::checkIn);
        Thread.ofVirtual().start(this::advance);
    }

    /** Whether the task is at work here. */
    boolean runs(String task) {
        Life current = life;
        synchronized (current) {
            return !down && current.runs.containsKey(task);
        }
    }

    /** Leaves the next order to start unanswered; it is carried out when the worker is back after its next crash. */
    void deferNextStart() {
        deferNextStart = true;
    }

    /** Loses the answer of the call that waits when a task of the job ends. */
    void loseAnswerAfter(String job) {
        losesAnswerAfter = job;
    }

    /** Returns the task whose order to start was left unanswered, or an empty name. */
    String deferredTask() {
        return deferred == null ? "" : deferred.body.path("task").asText();
    }

    /** Crashes for good. */
    void crash() throws Exception {
        Life ended = life;
        down = true;
        proxy.down();
        synchronized (ended) {
            ended.runs.forEach((task, run) -> record.run(id, task, run.number, "lost, the worker crashed"));
            ended.runs.clear();
            ended.over = true;
            ended.notifyAll();
        }
        record.line("worker " + id + " crashes");
    }

    /** Crashes and starts again under the same identifier and address after the given time. */
    void crash(long downMs) throws Exception {
        crash();
        Thread.sleep(downMs);
        life = new Life();
        proxy.up();
        down = false;
        register();
        record.line("worker " + id + " is back, born=" + life.born);
        if (deferred != null) {
            record.line("worker " + id + " carries out the order for " + deferredTask() + " that was sent "
                    + (record.nowMs() - deferred.sentAtMs) + " ms ago");
            life.start(deferred.body);
            deferred = null;
        }
    }

    @Override
    public void close() throws Exception {
        closed = true;
        proxy.close();
        server.close();
    }

    private void checkIn() {
        try {
            while (!closed) {
                if (!down) {
                    register();
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        if (down) {
            return;
        }
        ObjectNode entry = Web.object();
        entry.put("service", "catalogue").put("address", proxy.address()).put("zone", zone).put("version", "1");
        entry.put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0).put("sequence", ++sequence);
        entry.put("born", life.born);
        entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 32_768);
        entry.putArray("labels").add("a").add("r-" + zone);
        store.put("servers", id, entry);
    }

    private void advance() {
        try {
            while (!closed) {
                life.advance();
                Thread.sleep(STEP_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Web.Reply answer(Web.Request request) throws Exception {
        REQUESTS.incrementAndGet();
        Life current = life;
        if (!id.equals(request.instance())) {
            return new Web.Reply(421, Web.object());
        }
        return switch (request.path()) {
            case "/v1/hold" -> current.hold(request.json());
            case "/v1/run-start" -> {
                if (deferNextStart) {
                    deferNextStart = false;
                    deferred = new Deferred(request.json(), record.nowMs());
                    record.line("worker " + id + " leaves an order unanswered: start of " + deferredTask() + " run "
                            + request.json().path("run").asInt());
                    Thread.sleep(LATEST_MS);
                    yield new Web.Reply(503, Web.object());
                }
                yield current.start(request.json());
            }
            case "/v1/run-stop" -> current.stop(request.json());
            default -> new Web.Reply(404, Web.object());
        };
    }

    /** One lifetime of the worker. */
    private final class Life {
        private final long startedNs = System.nanoTime();
        private final long born = System.currentTimeMillis();
        private final Map<String, Run> runs = new TreeMap<>();
        private final Map<String, Integer> barred = new HashMap<>();
        private final List<End> ends = new ArrayList<>();
        private long lastEnd;
        private long fence;
        private long leaseUntilMs;
        private boolean over;
        private boolean silent;

        private long clockMs() {
            return 1_000 + (System.nanoTime() - startedNs) / 1_000_000;
        }

        private synchronized Web.Reply hold(JsonNode body) throws InterruptedException {
            if (stale(body)) {
                return reject("fence");
            }
            extend(body);
            advance();
            ends.removeIf(end -> end.number <= body.path("last_seen").asLong());
            long untilMs = clockMs() + Math.min(2_000, body.path("wait_ms").asLong());
            long seen = lastEnd;
            while (!over && lastEnd == seen && clockMs() < untilMs) {
                wait(Math.max(1, untilMs - clockMs()));
            }
            if (silent) {
                silent = false;
                record.line("worker " + id + " loses its answer, which lists the end");
                while (!over) {
                    wait();
                }
            }
            ObjectNode answer = stamp();
            ArrayNode running = answer.putArray("running");
            runs.forEach((task, run) ->
                    running.addArray().add(task).add(run.number).add("").add(run.percent(clockMs())).add(0));
            ArrayNode finished = answer.putArray("finished");
            ends.stream()
                    .limit(MAX_LISTED_ENDS)
                    .forEach(end -> finished.addArray()
                            .add(end.number).add(end.task).add(end.run).add(end.how).add(""));
            return new Web.Reply(200, answer);
        }

        private synchronized Web.Reply start(JsonNode body) {
            if (stale(body)) {
                return reject("fence");
            }
            advance();
            String task = body.path("task").asText();
            int number = body.path("run").asInt();
            Run current = runs.get(task);
            if (current != null && current.number == number) {
                extend(body);
                return new Web.Reply(200, stamp());
            }
            if (current != null || number <= barred.getOrDefault(task, 0)) {
                extend(body);
                return reject("old");
            }
            if (body.path("until_ms").asLong() <= clockMs()) {
                return reject("late");
            }
            extend(body);
            String spec = body.path("spec").asText();
            long workMs = spec.startsWith("work ") ? Long.parseLong(spec.substring(5)) : Long.MAX_VALUE / 4;
            runs.put(task, new Run(number, clockMs(), workMs));
            record.run(id, task, number, "starts");
            return new Web.Reply(200, stamp());
        }

        private synchronized Web.Reply stop(JsonNode body) {
            if (stale(body)) {
                return reject("fence");
            }
            advance();
            String task = body.path("task").asText();
            int number = body.path("run").asInt();
            Run run = runs.get(task);
            if (run != null && run.number <= number) {
                runs.remove(task);
                end(task, run, "stopped");
            }
            barred.merge(task, number, Math::max);
            return new Web.Reply(200, stamp());
        }

        private synchronized void advance() {
            long nowMs = clockMs();
            for (Iterator<Map.Entry<String, Run>> all = runs.entrySet().iterator(); all.hasNext(); ) {
                Map.Entry<String, Run> next = all.next();
                String task = next.getKey();
                Run run = next.getValue();
                boolean done = nowMs - run.startedAtMs >= run.workMs;
                if (done || nowMs >= leaseUntilMs) {
                    all.remove();
                    end(task, run, done ? "done" : "lapsed");
                }
            }
        }

        private void end(String task, Run run, String how) {
            ends.add(new End(++lastEnd, task, run.number, how));
            barred.merge(task, run.number, Math::max);
            record.run(id, task, run.number, "ends as " + how);
            silent |= !losesAnswerAfter.isEmpty() && task.startsWith(losesAnswerAfter);
            notifyAll();
        }

        private boolean stale(JsonNode body) {
            long token = body.path("fencing_token").asLong();
            fence = Math.max(fence, token);
            return token < fence;
        }

        private void extend(JsonNode body) {
            long untilMs = Math.min(body.path("until_ms").asLong(), clockMs() + LEASE_MAX_MS);
            leaseUntilMs = Math.max(leaseUntilMs, untilMs);
        }

        private Web.Reply reject(String reason) {
            return new Web.Reply(409, stamp().put("reason", reason));
        }

        private ObjectNode stamp() {
            return Web.object().put("clock_ms", clockMs()).put("born", born);
        }
    }

    private record Deferred(JsonNode body, long sentAtMs) {}

    private record End(long number, String task, int run, String how) {}

    private record Run(int number, long startedAtMs, long workMs) {
        private int percent(long nowMs) {
            return workMs > 1_000_000 ? 100 : (int) Math.min(99, 100 * (nowMs - startedAtMs) / workMs);
        }
    }
}
