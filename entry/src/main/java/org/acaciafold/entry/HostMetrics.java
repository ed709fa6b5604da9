package org.acaciafold.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.acaciafold.fleet.FleetSummary;

/**
 * The counters, timers and gauges of a host. All names start with {@code acaciafold}.
 *
 * <p>Example: {@code metrics.request("POST", 200, tookMs); String text = metrics.scrape();}
 */
final class HostMetrics {
    private static final String PREFIX = "acaciafold.";

    /**
     * Upper bounds of the latency buckets. They cover the objective of a hold, which is 250 ms, and long jobs, which
     * take a minute.
     */
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofMillis(2_500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        Duration.ofSeconds(60)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Tags, Counter> counters = new ConcurrentHashMap<>();
    private final Map<Tags, Timer> timers = new ConcurrentHashMap<>();
    private final MultiGauge pending =
            MultiGauge.builder(PREFIX + "jobs.pending").register(registry);
    private final MultiGauge standing =
            MultiGauge.builder(PREFIX + "steps.standing").register(registry);
    private final MultiGauge away = MultiGauge.builder(PREFIX + "tasks.away").register(registry);
    private volatile FleetSummary fleet = FleetSummary.empty();

    HostMetrics() {
        gauge("workers", this, metrics -> metrics.fleet.workers());
        gauge("workers.silent", this, metrics -> metrics.fleet.unresponsive());
        gauge("runs", this, metrics -> metrics.fleet.runs());
        gauge("jobs.active", this, metrics -> metrics.fleet.activeJobs());
        gauge("cpu.free.millis", this, metrics -> metrics.fleet.freeCpuMillis());
        gauge("cpu.used.millis", this, metrics -> metrics.fleet.usedCpuMillis());
    }

    /** Records a response to a client. */
    void request(String method, int status, long tookMs) {
        count("requests", "method", method, "status", Integer.toString(status));
        time("request", "method", method, tookMs);
    }

    /** Records a call to the store. */
    void storeCall(String call, String outcome, long tookMs) {
        count("store.calls", "call", call, "outcome", outcome);
        time("store.call", "call", call, tookMs);
    }

    /** Records a command to a worker. */
    void order(String order, String outcome, long tookMs) {
        count("orders", "order", order, "outcome", outcome);
        time("order", "order", order, tookMs);
    }

    /** Records a row of the store that this host ignores. */
    void rowIgnored(String table) {
        count("rows.ignored", "table", table, "", "");
    }

    /** Records a row that the store refuses for good. */
    void rowRefused(String table) {
        count("rows.refused", "table", table, "", "");
    }

    /** Records a call for placement advice. */
    void advice(boolean answered, long tookMs) {
        count("advice.calls", "outcome", answered ? "answered" : "failed", "", "");
        time("advice.call", "", "", tookMs);
    }

    /** Records the time from a job's acceptance to its first start. */
    void started(String queue, long afterMs) {
        time("job.first.start", "queue", queue, afterMs);
    }

    /** Records the end of a job and the time since its acceptance. */
    void ended(String queue, String state, long afterMs) {
        count("jobs.ended", "queue", queue, "state", state);
        time("job.end", "queue", queue, afterMs);
    }

    void tick(long tookMs) {
        time("tick", "", "", tookMs);
    }

    /** Replaces the gauges of waiting jobs by queue. */
    void pending(Map<String, Integer> counts) {
        replace(pending, "queue", counts);
    }

    /** Replaces the gauges of steps that stand beside free room, by the reason why they wait. */
    void standing(Map<String, Integer> counts) {
        replace(standing, "reason", counts);
    }

    /** Replaces the gauges of tasks that last and have been away for too long, by the lease that holds them. */
    void away(Map<String, Integer> counts) {
        replace(away, "lease", counts);
    }

    /** Replaces the values of the fleet gauges. */
    void fleet(FleetSummary summary) {
        fleet = summary;
    }

    /** Registers a gauge that is read at each scrape. */
    <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
        Gauge.builder(PREFIX + name, source, value).strongReference(true).register(registry);
    }

    /** Registers a counter that is kept elsewhere and read at each scrape. */
    <T> void functionCounter(String name, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(PREFIX + name, source, value).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }

    private static void replace(MultiGauge gauge, String tag, Map<String, Integer> counts) {
        gauge.register(
                counts.entrySet().stream()
                        .map(entry -> MultiGauge.Row.of(Tags.of(tag, entry.getKey()), entry.getValue()))
                        .toList(),
                true);
    }

    private void count(String name, String key, String value, String secondKey, String secondValue) {
        Tags tags = tags(key, value).and(tags(secondKey, secondValue));
        counters.computeIfAbsent(tags.and("name", name), ignored -> registry.counter(PREFIX + name, tags))
                .increment();
    }

    private void time(String name, String key, String value, long tookMs) {
        Tags tags = tags(key, value);
        timers.computeIfAbsent(
                        tags.and("name", name),
                        ignored -> Timer.builder(PREFIX + name)
                                .tags(tags)
                                .serviceLevelObjectives(BUCKETS)
                                .register(registry))
                .record(Duration.ofMillis(Math.max(0, tookMs)));
    }

    private static Tags tags(String key, String value) {
        return key.isEmpty() ? Tags.empty() : Tags.of(key, value);
    }
}
