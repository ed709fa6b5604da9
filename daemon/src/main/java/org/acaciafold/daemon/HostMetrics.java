package org.acaciafold.daemon;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.wire.WireCounters;

/** The metrics of an entry host; names start with {@code acaciafold}. */
public final class HostMetrics {
    private static final String PREFIX = "acaciafold.";

    private final PrometheusMeterRegistry registry;
    private final Timer ticks;

    private HostMetrics(PrometheusMeterRegistry registry) {
        this.registry = registry;
        this.ticks = Timer.builder(PREFIX + "tick")
                .description("Ticks of the state machine")
                .publishPercentileHistogram()
                .register(registry);
    }

    /**
     * Creates the metrics of one entry host.
     *
     * @return metrics that are all zero
     */
    public static HostMetrics create() {
        return new HostMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    /**
     * Records a live request that has ended.
     *
     * @param outcome whether the request ran, as far as is known
     * @param code the code of its error, or {@code ok}
     * @param took its duration
     */
    public void liveRequest(Outcome outcome, String code, Duration took) {
        Timer.builder(PREFIX + "live.requests")
                .description("Live requests by outcome")
                .tags("outcome", outcome.name(), "code", code)
                .publishPercentileHistogram()
                .register(registry)
                .record(took);
    }

    /**
     * Returns the registry, in which other packages register their own meters.
     *
     * @return the registry
     */
    public MeterRegistry registry() {
        return registry;
    }

    /** Returns all meters in the text format of Prometheus. */
    String scrape() {
        return registry.scrape();
    }

    /** Counts an HTTP request by interface and response status. */
    void httpRequest(String api, int status) {
        registry.counter(PREFIX + "http.requests", "api", api, "status", Integer.toString(status))
                .increment();
    }

    void inboxFull() {
        registry.counter(PREFIX + "inbox.dropped").increment();
    }

    void peerMessageReceived(String kind) {
        registry.counter(PREFIX + "peer.messages", "direction", "received", "kind", kind)
                .increment();
    }

    void peerMessageSent(String kind) {
        registry.counter(PREFIX + "peer.messages", "direction", "sent", "kind", kind)
                .increment();
    }

    void tableCall(String kind, String result, long took, TimeUnit unit) {
        registry.timer(PREFIX + "table.calls", "kind", kind, "result", result).record(took, unit);
    }

    void tick(Duration took) {
        ticks.record(took);
    }

    /** Registers the meters that are read from the loop at each scrape. */
    void watch(CoreLoop loop) {
        Gauge.builder(PREFIX + "inbox.length", loop, CoreLoop::inboxSize).register(registry);
        Gauge.builder(PREFIX + "calls.waiting", loop, CoreLoop::waitingCalls).register(registry);
        Gauge.builder(PREFIX + "slices.owned", loop, l -> l.snapshot().ownedSlices())
                .register(registry);
        Gauge.builder(
                        PREFIX + "settings.version",
                        loop,
                        l -> l.snapshot().settings().version())
                .register(registry);
        FunctionCounter.builder(PREFIX + "answers.late", loop, l -> l.snapshot().lateAnswers())
                .register(registry);
    }

    /** Registers the counters of the connections to peers. */
    void watch(WireCounters counters) {
        wireCounter("messages.dropped", counters, WireCounters::droppedMessages);
        wireCounter("frames.dropped", counters, WireCounters::droppedFrames);
        wireCounter("connections.rejected", counters, WireCounters::rejectedConnections);
        wireCounter("bytes.sent", counters, WireCounters::sentBytes);
        wireCounter("bytes.received", counters, WireCounters::receivedBytes);
    }

    void workerCall(String kind, String result, long took, TimeUnit unit) {
        registry.timer(PREFIX + "worker.calls", "kind", kind, "result", result).record(took, unit);
    }

    private void wireCounter(String name, WireCounters counters, ToDoubleFunction<WireCounters> value) {
        FunctionCounter.builder(PREFIX + "wire." + name, counters, value).register(registry);
    }
}
