package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: a store, workers and consumers as stand-ins, and entry hosts as separate processes. */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "booking-app";
    static final String ZONE = "north";
    static final String CONSUMER_HOST = "jobs.example";
    static final String KEY = "key-of-a-tenant";
    private static final long HEARTBEAT_MS = 1_500;
    private static final String SETTINGS = """
            [host]
            id = %s
            failure-domain = %s
            processors = 0.75

            [listen]
            consumers = 127.0.0.1:%d
            readiness = 127.0.0.1:%d
            metrics = 127.0.0.1:%d
            peers = 127.0.0.1:%d

            [platform]
            store = %s

            [cluster]
            secret = deployment-at-%s

            [bounds]
            config-apply-ms = 2000
            lease-max-ms = 10000
            stop-ms = 200
            grace-s = 6
            """;

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    final Record record;
    final Worker.Work work;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    /** All runs by task, in the order of their starts. */
    final Map<String, List<RunSeen>> seen = new LinkedHashMap<>();

    /** True to let peers reach each host through a proxy. */
    boolean peerProxies;

    final Map<String, Proxy> proxies = new LinkedHashMap<>();
    private final HttpServer storeServer;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final Path directory;
    private volatile boolean closed;

    /** A run as its worker saw it; times in milliseconds since the start of the case, -1 for not yet. */
    static final class RunSeen {
        final String worker;
        final int number;
        final long startedMs;
        long endedMs = -1;
        String how = "";
        long acknowledgedMs = -1;

        RunSeen(String worker, int number, long startedMs) {
            this.worker = worker;
            this.number = number;
            this.startedMs = startedMs;
        }

        @Override
        public String toString() {
            return "run %d on %s started %d ended %d %s acknowledged %d"
                    .formatted(number, worker, startedMs, endedMs, how, acknowledgedMs);
        }
    }

    /** An entry host: the process that the deploy file starts. */
    final class Host {
        final String name;
        final int consumers;
        final int readiness;
        final int metrics;
        final int peers;
        Process process;

        Host(String name, int[] ports) {
            this.name = name;
            consumers = ports[0];
            readiness = ports[1];
            metrics = ports[2];
            peers = ports[3];
        }

        void start() throws IOException {
            Path settings = directory.resolve(name + ".ini");
            String address = Http.address(storeServer);
            String text = SETTINGS.formatted(name, ZONE, consumers, readiness, metrics, peers, address, address);
            if (peerProxies) {
                if (!proxies.containsKey(name)) {
                    proxies.put(name, new Proxy(name, peers));
                }
                text = text.replace("[platform]", "advertised-peers = " + proxies.get(name).address() + "\n\n[platform]");
            }
            Files.writeString(settings, text);
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            Map<String, String> environment = builder.environment();
            environment.keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
            environment.put("ACACIAFOLD_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
            process = builder.start();
            Files.writeString(
                    directory.resolve("pids"),
                    process.pid() + "\n",
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
            record.line("host %s started pid %d", name, process.pid());
        }

        void kill() throws InterruptedException {
            record.line("host %s killed (SIGKILL) pid %d", name, process.pid());
            process.destroyForcibly().waitFor();
        }

        boolean ready() {
            return get(readiness, "/v1/readyz").map(answer -> answer.statusCode() == 200).orElse(false);
        }

        /** Returns whether the host says by its metrics that it leads. */
        boolean leads() {
            return get(metrics, "/metrics")
                    .map(answer -> answer.body().lines().anyMatch(line -> line.matches("acaciafold_leader(\\{.*})? 1\\.?0?")))
                    .orElse(false);
        }

        private Optional<HttpResponse<String>> get(int port, String path) {
            try {
                return Optional.of(http.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).timeout(Duration.ofSeconds(1)).build(),
                        HttpResponse.BodyHandlers.ofString()));
            } catch (IOException | InterruptedException e) {
                return Optional.empty();
            }
        }
    }

    Cluster(Record record, Path directory, Worker.Work work) throws IOException {
        this.record = record;
        this.directory = directory;
        this.work = work;
        this.store = new Store(record);
        this.storeServer = Http.serve(0, store::handle);
        Thread.ofVirtual().start(this::checkIn);
    }

    /** Returns the command with which the deploy file starts an entry host. */
    private static List<String> runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private void checkIn() {
        for (long sequence = 1; !closed; sequence++) {
            for (Worker worker : workers) {
                register(worker, "ready", sequence);
            }
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    void register(Worker worker, String state, long sequence) {
        store.put("servers", worker.id, worker.entry(SERVICE, state, sequence).toString().getBytes(StandardCharsets.UTF_8));
    }

    Worker addWorker(String id, int cpu, int memMb, String... labels) throws IOException {
        return addWorkerIn(ZONE, id, cpu, memMb, labels);
    }

    Worker addWorkerIn(String zone, String id, int cpu, int memMb, String... labels) throws IOException {
        return add(new Worker(this, id, zone, 0, cpu, memMb, List.of(labels)));
    }

    /** Crashes a worker, without a word to the store. */
    void crash(Worker worker) {
        record.line("worker %s crashes with %d runs", worker.id, worker.running().size());
        workers.remove(worker);
        worker.close();
    }

    /** Starts a crashed worker again under its identifier, at its address. */
    Worker restart(Worker worker) throws IOException {
        record.line("worker %s starts again", worker.id);
        return add(new Worker(this, worker.id, worker.zone, worker.port(), worker.cpu, worker.memMb, worker.labels));
    }

    private Worker add(Worker worker) {
        workers.add(worker);
        register(worker, "ready", 0);
        return worker;
    }

    /** A queue of the configuration. */
    record Queue(String name, String prefix, int priority, int maxAttempts) {}

    void configure(int version, List<Queue> queues, long quotaCpu) {
        ObjectNode config = Http.object().put("version", version);
        ArrayNode routes = config.putArray("routes");
        for (Queue queue : queues) {
            routes.addObject()
                    .put("name", queue.name)
                    .put("host", CONSUMER_HOST)
                    .put("path_prefix", queue.prefix)
                    .put("service", SERVICE)
                    .put("priority", queue.priority)
                    .put("max_attempts", queue.maxAttempts)
                    .put("stretch", 2.2)
                    .put("target_latency_ms", 1_200);
        }
        config.putArray("services").addObject().put("name", SERVICE).put("enforces_capacity", false);
        config.putObject("limits");
        ObjectNode tenant = config.putArray("tenants").addObject();
        tenant.put("name", "tenant-a").put("weight", 50).putArray("api_keys").add(KEY);
        tenant.putObject("upper_bound").put("cpu", quotaCpu).put("mem_mb", 0).put("gpu", 0);
        store.put("op", "config", config.toString().getBytes(StandardCharsets.UTF_8));
    }

    void startHosts(int count) throws IOException {
        int[][] ports = new int[count][4];
        List<ServerSocket> held = new ArrayList<>();
        for (int[] own : ports) {
            for (int i = 0; i < own.length; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                held.add(socket);
                own[i] = socket.getLocalPort();
            }
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (int i = 0; i < count; i++) {
            Host host = new Host("entry-" + (i + 1), ports[i]);
            hosts.add(host);
            host.start();
        }
    }

    Optional<Host> leader() {
        return hosts.stream().filter(host -> host.process.isAlive() && host.leads()).findFirst();
    }

    /** Waits until a condition holds; returns false when it does not in time. */
    static boolean await(long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < endNs) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(20);
        }
        return condition.getAsBoolean();
    }

    /** An answer to a consumer; status 0 for none. */
    record Answer(int status, String body) {}

    Answer call(Host host, String method, String path, String body) {
        try {
            HttpResponse<String> answer = http.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + host.consumers + path))
                            .header("Host", CONSUMER_HOST)
                            .header("Authorization", "Token " + KEY)
                            .header("Content-Type", "application/json")
                            .header("Deadline-Ms", "3000")
                            .timeout(Duration.ofSeconds(4))
                            .method(method, HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, e.toString());
        }
    }

    /** Hands a job in, at another host after each attempt that was not accepted; returns whether one was accepted. */
    boolean submit(String path, String body, int attempts) throws InterruptedException {
        for (int i = 0; i < attempts; i++) {
            Host host = hosts.get(i % hosts.size());
            Answer answer = call(host, "POST", path, body);
            record.line("POST %s at %s -> %d %s", path, host.name, answer.status, answer.body);
            if (answer.status / 100 == 2) {
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    /** Returns the state of a job as the first host that knows it says; empty when none answers with a state. */
    String state(String path) {
        for (Host host : hosts) {
            Answer answer = host.process.isAlive() ? call(host, "GET", path, "") : new Answer(0, "");
            Matcher state = Pattern.compile("\"state\":\"(\\w+)\"").matcher(answer.body);
            if (answer.status == 200 && state.find()) {
                return state.group(1);
            }
        }
        return "";
    }

    void started(Worker worker, String task, int run, String spec) {
        synchronized (seen) {
            seen.computeIfAbsent(task, name -> new ArrayList<>()).add(new RunSeen(worker.id, run, record.nowMs()));
        }
        record.line("start %s run %d on %s", task, run, worker.id);
    }

    void ended(Worker worker, String task, int run, String how) {
        find(worker, task, run).ifPresent(found -> {
            found.endedMs = record.nowMs();
            found.how = how;
        });
        record.line("end %s run %d on %s %s", task, run, worker.id, how);
    }

    void acknowledged(Worker worker, String task, int run, String how) {
        find(worker, task, run).ifPresent(found -> found.acknowledgedMs = record.nowMs());
        record.line("noted %s run %d on %s %s", task, run, worker.id, how);
    }

    private Optional<RunSeen> find(Worker worker, String task, int run) {
        synchronized (seen) {
            return seen.getOrDefault(task, List.of()).stream()
                    .filter(one -> one.worker.equals(worker.id) && one.number == run)
                    .findFirst();
        }
    }

    /** Returns how many tasks whose names begin so have ended with an outcome. */
    long ended(String prefix, String how) {
        synchronized (seen) {
            return seen.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(prefix))
                    .filter(entry -> entry.getValue().stream().anyMatch(run -> run.how.equals(how)))
                    .count();
        }
    }

    long startedTasks(String prefix) {
        synchronized (seen) {
            return seen.keySet().stream().filter(task -> task.startsWith(prefix)).count();
        }
    }

    @Override
    public void close() {
        closed = true;
        hosts.forEach(host -> {
            if (host.process != null) {
                host.process.destroyForcibly();
            }
        });
        workers.forEach(Worker::close);
        storeServer.stop(0);
    }
}
