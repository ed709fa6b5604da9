import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: the store, workers, and entry hosts as separate processes, started as the deploy file says. */
final class Fleet implements AutoCloseable {
    static final String QUEUE_HOST = "depot.example";
    static final String PREFIX = "/orders/";
    static final String KEY = "key-of-depot";
    private static final String[] ZONES = {"lahore-a", "faisalabad-b", "multan-c"};
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern FIELD = Pattern.compile("\\{\\{([^#/}]+)}}");
    private static final Pattern SETTING = Pattern.compile("(?m)^(run|template) = \"(.*)\"$");

    final Record record;
    final Store store = new Store();
    final Proxy storeProxy = new Proxy(store.address());
    final List<Worker> workers = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path temporary = Files.createTempDirectory("acaciafold-review");
    private final Map<String, String> deploy = new HashMap<>();

    Fleet(Record record, int workerCount, int cpu, int hostCount) throws Exception {
        this(record, workerCount, cpu, hostCount, 0);
    }

    /** Starts a deployment whose tenant may have the given processors running; 0 means no limit. */
    Fleet(Record record, int workerCount, int cpu, int hostCount, int upperBoundCpu) throws Exception {
        this.record = record;
        Matcher settings = SETTING.matcher(Files.readString(root.resolve("deploy/system.toml")));
        while (settings.find()) {
            deploy.put(settings.group(1), settings.group(2));
        }
        store.put("op", "config", configuration(upperBoundCpu));
        for (int i = 0; i < workerCount; i++) {
            workers.add(new Worker("i-" + i, ZONES[i % ZONES.length], cpu, store, record));
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(i));
        }
    }

    private static ObjectNode configuration(int upperBoundCpu) {
        ObjectNode config = Web.object().put("version", 1);
        ObjectNode route = config.putArray("routes").addObject();
        route.put("name", "orders").put("host", QUEUE_HOST).put("path_prefix", PREFIX).put("service", "catalogue");
        route.put("priority", 0).put("max_attempts", 3).put("stretch", 2.0).put("target_latency_ms", 1_000);
        config.putArray("services").addObject().put("name", "catalogue").put("enforces_capacity", false);
        ObjectNode tenant = config.putArray("tenants").addObject().put("name", "depot").put("weight", 10);
        tenant.putArray("api_keys").add(KEY);
        ObjectNode upperBound = tenant.putObject("upper_bound");
        if (upperBoundCpu > 0) {
            upperBound.put("cpu", upperBoundCpu);
        }
        config.putObject("limits");
        return config;
    }

    /** Waits until all hosts report themselves ready. */
    boolean ready(long limitMs) throws InterruptedException {
        return await(limitMs, () -> hosts.stream()
                .allMatch(host -> Web.call(host.readiness, "GET", "/v1/readyz", Map.of("Host", "x"), "", 1_000).status()
                        == 200));
    }

    static boolean await(long limitMs, BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + limitMs * 1_000_000;
        while (System.nanoTime() < endNs) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    static ObjectNode job(String spec, int tasks, int cpu, long estimateMs, boolean lasts, int mayMiss) {
        ObjectNode job = Web.object().put("spec", spec);
        ArrayNode steps = job.putArray("steps");
        ObjectNode step = steps.addObject().put("count", tasks).put("cpu", cpu).put("mem_mb", 64);
        step.put("estimate_ms", estimateMs);
        if (lasts) {
            step.put("long_running", true);
        }
        if (mayMiss > 0) {
            step.put("may_miss", mayMiss);
        }
        return job;
    }

    /** Hands a job in as a consumer does: it asks the next host after no answer, 503, 502 or 504. Returns whether it was accepted. */
    boolean submit(String id, ObjectNode job, long limitMs) throws InterruptedException {
        long endMs = record.nowMs() + limitMs;
        for (int attempt = 0; record.nowMs() < endMs; attempt++) {
            int status = call(hosts.get(attempt % hosts.size()), "POST", id, job.toString()).status();
            if (status == 200) {
                return true;
            }
            Thread.sleep(status == 503 ? 1_000 : 300);
        }
        return false;
    }

    /** Returns the state of a job, or the status of the answer if it has none. */
    String state(String id) {
        for (Host host : hosts) {
            Web.Answer answer = call(host, "GET", id, "");
            if (answer.status() == 200) {
                try {
                    return Web.JSON.readTree(answer.body()).path("state").asText();
                } catch (IOException e) {
                    return "unreadable";
                }
            }
            if (answer.status() == 410) {
                return "410";
            }
        }
        return "none";
    }

    Web.Answer call(Host host, String method, String id, String body) {
        Map<String, String> headers =
                Map.of("Host", QUEUE_HOST, "Authorization", "Token " + KEY, "Deadline-Ms", "3000");
        Web.Answer answer = Web.call(host.consumers, method, PREFIX + id, headers, body, 3_000);
        record.line(method + " " + id + " at " + host.name + ": " + answer.status() + " " + answer.body());
        return answer;
    }

    @Override
    public void close() throws Exception {
        hosts.forEach(host -> host.process.destroy());
        for (Host host : hosts) {
            if (!host.process.waitFor(8, TimeUnit.SECONDS)) {
                host.process.destroyForcibly().waitFor();
            }
        }
        for (Worker worker : workers) {
            worker.close();
        }
        storeProxy.close();
        store.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** An entry host, as a process of its own on a loopback address of its own. */
    final class Host {
        final String name;
        final String consumers;
        final String readiness;
        private final ProcessBuilder builder;
        volatile Process process;

        private Host(int number) throws Exception {
            String ip = "127.0.0." + (11 + number);
            List<Integer> ports = unusedPorts(ip, 3);
            name = "edge-" + ZONES[number % ZONES.length] + "-" + number;
            consumers = ip + ":" + ports.get(0);
            readiness = ip + ":" + ports.get(1);
            Map<String, String> fields = new HashMap<>();
            fields.put("node_name", name);
            fields.put("zone", ZONES[number % ZONES.length]);
            fields.put("ip", ip);
            fields.put("listen.front", consumers);
            fields.put("listen.ready", readiness);
            fields.put("internal_ports.0", Integer.toString(ports.get(2)));
            fields.put("platform.address", storeProxy.address());
            fields.put("limits.cpu_share", "0.75");
            fields.put("bounds.config_apply_ms", "2000");
            fields.put("bounds.hold_max_ms", "10000");
            fields.put("bounds.stop_ms", "200");
            fields.put("bounds.quota_overage", "0.1");
            fields.put("bounds.grace_s", "6");
            Path file = temporary.resolve(name + ".ini");
            Files.writeString(file, render(Files.readString(root.resolve(deploy.get("template"))), fields));
            builder = new ProcessBuilder(deploy.get("run").split(" ")).directory(root.toFile());
            builder.environment().put("ACACIAFOLD_NODE_FILE", file.toString());
            builder.redirectErrorStream(true);
            String logs = System.getenv("HOST_LOGS");
            Path log = (logs == null ? temporary : Path.of(logs)).resolve(name + ".log");
            Files.deleteIfExists(log);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        /** Starts the process anew, with the same settings. */
        void restart() throws Exception {
            process.waitFor();
            process = builder.start();
            record.line(name + " starts again");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            record.line("signal " + signal + " to " + name);
        }
    }

    private static String render(String template, Map<String, String> fields) {
        String chosen = SECTION.matcher(template)
                .replaceAll(match -> Matcher.quoteReplacement(fields.containsKey(match.group(1)) ? match.group(2) : ""));
        return FIELD.matcher(chosen)
                .replaceAll(match -> Matcher.quoteReplacement(fields.getOrDefault(match.group(1), "")));
    }

    private static List<Integer> unusedPorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
