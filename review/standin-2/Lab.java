import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback: entry hosts as processes of their own, and a stand-in platform in this process. */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static final String HOST = "jobs.example";
    static final String PREFIX = "/jobs/";
    static final String KEY = "key-of-north";
    private static final String SERVICE = "catalogue";
    private static final long STARTUP_MS = 30_000;
    private static final long LIMIT_MS = 112_000;

    /** A case: returns whether the rule was broken. */
    interface Case {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    /** A status of 0 stands for a call without an answer. */
    record Answer(int status, String body) {}

    final Store store = new Store();
    final CaseRecord record;
    final Map<String, Worker> workers = new TreeMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Path> settings = new HashMap<>();
    private final Map<String, String> consumers = new TreeMap<>();
    private final Map<String, String> readiness = new TreeMap<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path directory;

    private Lab(CaseRecord record, Path directory) {
        this.record = record;
        this.directory = directory;
    }

    /** Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(Path folder, Case test) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        CaseRecord record = new CaseRecord(folder.resolve("record.txt"));
        Lab lab = new Lab(record, Files.createTempDirectory("acaciafold-case"));
        Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
        Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
            record.line("verdict", "could not run: the time was over");
            System.exit(COULD_NOT_RUN);
        });
        int status;
        try {
            record.line("case", "disruption " + (trouble ? "on" : "off"));
            boolean broken = test.run(lab, trouble);
            status = broken ? BROKEN : HELD;
            record.line("verdict", broken ? "the rule was broken" : "the rule held");
        } catch (Exception e) {
            record.line("verdict", "could not run: " + e);
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }

    /** Starts workers, one third in each zone, and entry hosts, and waits until all hosts are ready. */
    void start(int hostCount, int workerCount) throws Exception {
        configure();
        for (int i = 0; i < workerCount; i++) {
            String id = "i-%02d".formatted(i);
            workers.put(id, new Worker(id, "zone-" + i % 3, SERVICE, store, record));
        }
        for (int i = 0; i < hostCount; i++) {
            writeSettings("edge-" + i, "zone-" + i % 3);
        }
        for (String name : consumers.keySet()) {
            startHost(name);
        }
        await("all hosts are ready", STARTUP_MS, () -> consumers.keySet().stream().allMatch(this::ready));
        await("a host leads", STARTUP_MS, () -> !store.lastLeaseWriter().isEmpty());
    }

    List<String> hosts() {
        return List.copyOf(consumers.keySet());
    }

    String leader() {
        return store.lastLeaseWriter();
    }

    boolean ready(String host) {
        return call(readiness.get(host), "GET", "/v1/readyz", "", 1_000).status == 200;
    }

    void startHost(String name) throws IOException {
        List<String> command = new ArrayList<>(List.of(deployFile("run").split(" ")));
        command.set(0, root.resolve(command.getFirst()).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("ACACIAFOLD_NODE_FILE", settings.get(name).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        record.line("process", name + " started");
    }

    /** Kills the process of a host at once. */
    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        record.line("kill", name);
    }

    /** Submits a job, asks for its state or cancels it. */
    Answer consumer(String host, String method, String id, String body, long timeoutMs) {
        record.line("send", method + " " + id + " to " + host + (body.isEmpty() ? "" : " " + body));
        Answer answer = call(consumers.get(host), method, PREFIX + id, body, timeoutMs);
        String text = answer.status == 0 ? "no answer" : answer.status + " " + answer.body;
        record.line("answer", method + " " + id + " from " + host + ": " + text);
        return answer;
    }

    /** Returns the state that a host tells, or the status of its answer where it tells none. */
    String state(String host, String id) {
        Answer answer = consumer(host, "GET", id, "", 3_000);
        Matcher state = Pattern.compile("\"state\":\"([a-z]+)\"").matcher(answer.body);
        return answer.status == 200 && state.find() ? state.group(1) : Integer.toString(answer.status);
    }

    void await(String what, long limitMs, BooleanSupplier condition) throws InterruptedException {
        long endMs = record.nowMs() + limitMs;
        while (!condition.getAsBoolean()) {
            if (record.nowMs() > endMs) {
                throw new IllegalStateException("not within " + limitMs + " ms: " + what);
            }
            Thread.sleep(10);
        }
    }

    /** Returns the worker that runs a task of a job, or null. */
    Worker workerOf(String job) {
        return workers.values().stream().filter(worker -> worker.runs(job)).findFirst().orElse(null);
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        workers.values().forEach(Worker::close);
        for (Process process : processes.values()) {
            try {
                process.waitFor(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                System.err.println("temporary files stay: " + e);
            }
        } else {
            System.out.println("logs in " + directory);
        }
        record.close();
    }

    private void configure() {
        ObjectNode config = Store.JSON.createObjectNode().put("version", 7);
        ObjectNode route = config.putArray("routes").addObject();
        route.put("name", "jobs").put("host", HOST).put("path_prefix", PREFIX).put("service", SERVICE);
        route.put("priority", 1).put("max_attempts", 4).put("stretch", 2).put("target_latency_ms", 1_000);
        config.putArray("services").addObject().put("name", SERVICE).put("enforces_capacity", false);
        config.putObject("limits");
        ObjectNode tenant = config.putArray("tenants").addObject();
        tenant.put("name", "north").put("weight", 10).putArray("api_keys").add(KEY);
        tenant.putObject("upper_bound").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
        store.put("op", "config", config);
    }

    private void writeSettings(String name, String zone) throws IOException {
        Map<String, String> fields = new HashMap<>();
        String front = "127.0.0.1:" + freePort();
        String ready = "127.0.0.1:" + freePort();
        fields.put("node_name", name);
        fields.put("zone", zone);
        fields.put("ip", "127.0.0.1");
        fields.put("limits.cpu_share", "0.75");
        fields.put("listen.front", front);
        fields.put("listen.ready", ready);
        fields.put("internal_ports.0", Integer.toString(freePort()));
        fields.put("platform.address", store.open(name));
        fields.put("bounds.config_apply_ms", "2000");
        fields.put("bounds.hold_max_ms", "10000");
        fields.put("bounds.stop_ms", "400");
        fields.put("bounds.quota_overage", "0.1");
        fields.put("bounds.grace_s", "6");
        String text = Files.readString(root.resolve(deployFile("template")));
        text = text.replace("{{ip}}:9464", "127.0.0.1:" + freePort());
        // all hosts share a secret, which the template makes of the store's address
        text = text.replace("deployment-at-{{platform.address}}", "deployment-on-loopback");
        Matcher sections = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(text);
        text = sections.replaceAll(found ->
                fields.containsKey(found.group(1)) ? Matcher.quoteReplacement(found.group(2)) : "");
        text = Pattern.compile("\\{\\{([^}]+)}}").matcher(text).replaceAll(found ->
                Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
        Path file = directory.resolve(name + ".ini");
        Files.writeString(file, text);
        settings.put(name, file);
        consumers.put(name, front);
        readiness.put(name, ready);
    }

    private String deployFile(String key) throws IOException {
        Matcher value = Pattern.compile("^" + key + " = \"(.*)\"$", Pattern.MULTILINE)
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!value.find()) {
            throw new IOException("the deploy file has no " + key);
        }
        return value.group(1);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Makes a call on a channel of its own, which is closed when the time is over. */
    private static Answer call(String address, String method, String path, String body, long timeoutMs) {
        int colon = address.indexOf(':');
        long endMs = System.nanoTime() / 1_000_000 + timeoutMs;
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    (int) timeoutMs);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Token " + KEY
                    + "\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            byte[] buffer = new byte[8_192];
            while (true) {
                long leftMs = endMs - System.nanoTime() / 1_000_000;
                if (leftMs <= 0) {
                    return new Answer(0, "");
                }
                socket.setSoTimeout((int) leftMs);
                int count = in.read(buffer);
                if (count < 0) {
                    return new Answer(0, "");
                }
                read.write(buffer, 0, count);
                String text = read.toString(StandardCharsets.UTF_8);
                int end = text.indexOf("\r\n\r\n");
                if (end < 0) {
                    continue;
                }
                Matcher length = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)").matcher(text.substring(0, end));
                int expected = length.find() ? Integer.parseInt(length.group(1)) : 0;
                if (read.size() - text.substring(0, end + 4).getBytes(StandardCharsets.UTF_8).length >= expected) {
                    return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
                }
            }
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }
}
