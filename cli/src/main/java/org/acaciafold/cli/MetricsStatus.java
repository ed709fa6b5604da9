package org.acaciafold.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Prints the metrics that an entry host on the users' platform exposes on its metrics address. */
final class MetricsStatus {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PREFIX = "acaciafold_";
    private static final String PENDING = PREFIX + "jobs_pending{";
    private static final String NO_KEY = "";
    private static final double MILLIS = 1_000;

    private final Map<String, Double> samples;

    private MetricsStatus(Map<String, Double> samples) {
        this.samples = samples;
    }

    /** Reads the metrics at an address and prints them, as text or as one JSON object of all samples. */
    static ExitCode run(Invocation invocation, String address) throws CommandException {
        HostReply reply =
                HostClient.of(List.of(address), NO_KEY, invocation.timeout()).get("/metrics");
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        MetricsStatus status = parse(new String(reply.body(), StandardCharsets.UTF_8));
        if (status.samples.isEmpty()) {
            invocation.printDiagnostic(address + " serves no entry host metrics");
            return ExitCode.FAILED;
        }
        if (invocation.json()) {
            invocation.print(status.json());
        } else {
            status.lines().forEach(invocation::print);
        }
        return ExitCode.DONE;
    }

    /** Parses the Prometheus text format; comments and samples without the project's prefix are ignored. */
    static MetricsStatus parse(String text) {
        Map<String, Double> samples = new TreeMap<>();
        text.lines().filter(line -> line.startsWith(PREFIX)).forEach(line -> {
            int end = line.lastIndexOf(' ');
            samples.put(line.substring(0, end), Double.parseDouble(line.substring(end + 1)));
        });
        return new MetricsStatus(samples);
    }

    /** Returns the summary lines for operators. */
    List<String> lines() {
        String role = rounded("leader") == 1
                ? "leads term " + rounded("term") + ", lease renewed " + rounded("lease_age_ms") + " ms ago"
                : "follows another host";
        return List.of(
                role,
                "configuration version " + rounded("configuration_version") + ", confirmed "
                        + rounded("configuration_age_ms") + " ms ago",
                "jobs: " + rounded("jobs_known") + " known, " + rounded("jobs_active") + " active, " + pending()
                        + " waiting for their first task",
                "workers: " + rounded("workers") + ", of which " + rounded("workers_silent") + " do not answer; "
                        + rounded("runs") + " runs on " + processors("cpu_used_millis") + " processors, "
                        + processors("cpu_free_millis") + " free",
                "log lines dropped: " + rounded("log_lines_dropped_total"));
    }

    private String json() {
        try {
            return MAPPER.writeValueAsString(samples);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the samples cannot be encoded as JSON", e);
        }
    }

    private long pending() {
        return Math.round(samples.entrySet().stream()
                .filter(sample -> sample.getKey().startsWith(PENDING))
                .mapToDouble(Map.Entry::getValue)
                .sum());
    }

    private String processors(String name) {
        return "%.1f".formatted(samples.getOrDefault(PREFIX + name, 0.0) / MILLIS);
    }

    private long rounded(String name) {
        return Math.round(samples.getOrDefault(PREFIX + name, 0.0));
    }
}
