package org.acaciafold.daemon;

import java.util.List;
import java.util.function.UnaryOperator;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.acaciafold.core.model.HostId;
import org.acaciafold.settings.ObservabilitySettings;
import reactor.util.context.ContextView;

/**
 * Records a span for each hop and propagates the W3C trace context.
 *
 * <p>Example: {@code Span span = tracing.start("owner", SpanKind.SERVER, head.traceparent())}.
 */
public final class Tracing implements AutoCloseable {
    private static final String TRACEPARENT = "traceparent";
    private static final String INSTRUMENTATION = "org.acaciafold";
    private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();
    private static final TextMapGetter<String> GETTER = new SingleHeader();

    private final Tracer tracer;
    private final Runnable closer;

    private Tracing(Tracer tracer, Runnable closer) {
        this.tracer = tracer;
        this.closer = closer;
    }

    /**
     * Creates the tracing of an entry host.
     *
     * @param observation the settings that choose the span exporter
     * @param host the entry host
     * @return the tracing
     */
    public static Tracing create(ObservabilitySettings observation, HostId host) {
        return switch (observation.traces()) {
            case NONE -> none();
            case LOG -> exporting(SimpleSpanProcessor.create(new LogSpanExporter()), host);
            case OTLP ->
                exporting(
                        BatchSpanProcessor.builder(otlp(observation.otlpEndpoint()))
                                .build(),
                        host);
        };
    }

    /**
     * Creates a tracing that records no spans but still propagates the callers' trace context.
     *
     * @return the tracing
     */
    public static Tracing none() {
        return new Tracing(OpenTelemetry.noop().getTracer(INSTRUMENTATION), () -> {});
    }

    /** Creates a tracing that exports each span when it ends. */
    static Tracing exporting(SpanExporter exporter, HostId host) {
        return exporting(SimpleSpanProcessor.create(exporter), host);
    }

    /** Exports the spans that are still pending and shuts the exporter down. */
    @Override
    public void close() {
        closer.run();
    }

    /**
     * Ends a span.
     *
     * @param span the span
     * @param result how the hop ended, such as an HTTP status or the type of a reply
     * @param error whether the hop failed
     */
    public void end(Span span, String result, boolean error) {
        span.setAttribute("result", result);
        if (error) {
            span.setStatus(StatusCode.ERROR, result);
        }
        span.end();
    }

    /**
     * Starts the span of a hop.
     *
     * @param name the name of the hop: entry, owner, worker or table, followed by its operation
     * @param kind whether the hop is the server or the client of the request
     * @param traceparent the W3C trace context of the previous hop, empty for none
     * @return the span, which must be ended exactly once
     */
    public Span start(String name, SpanKind kind, String traceparent) {
        Context parent = W3C.extract(Context.root(), traceparent, GETTER);
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /**
     * Returns the trace context to send to the next hop.
     *
     * @param span the span of this hop
     * @return the W3C trace context, empty when there is none
     */
    public String traceparent(Span span) {
        StringBuilder value = new StringBuilder();
        W3C.inject(Context.root().with(span), value, (carrier, key, text) -> {
            if (carrier != null && key.equals(TRACEPARENT)) {
                carrier.append(text);
            }
        });
        return value.toString();
    }

    /**
     * Sets the span that is the parent of all calls to the state machine made within a subscription.
     *
     * @param span the span
     * @return the function to pass to {@code contextWrite}
     */
    public UnaryOperator<reactor.util.context.Context> within(Span span) {
        String value = traceparent(span);
        return context -> value.isEmpty() ? context : context.put(TRACEPARENT, value);
    }

    /** Returns the trace context of a subscription, empty for none. */
    static String current(ContextView view) {
        return view.getOrDefault(TRACEPARENT, "");
    }

    /**
     * Starts the span of a call by the state machine, which may serve several requests at once.
     *
     * @param name the name of the hop
     * @param requests the trace contexts of the requests served: a single one becomes the parent, several become links
     * @return the span, which must be ended exactly once
     */
    Span start(String name, List<String> requests) {
        if (requests.size() == 1) {
            return start(name, SpanKind.CLIENT, requests.getFirst());
        }
        SpanBuilder builder =
                tracer.spanBuilder(name).setSpanKind(SpanKind.CLIENT).setNoParent();
        for (String request : requests) {
            Context linked = W3C.extract(Context.root(), request, GETTER);
            builder.addLink(Span.fromContext(linked).getSpanContext());
        }
        return builder.startSpan();
    }

    private static Tracing exporting(SpanProcessor processor, HostId host) {
        Resource resource = Resource.getDefault().toBuilder()
                .put(AttributeKey.stringKey("service.name"), "acaciafold")
                .put(AttributeKey.stringKey("service.instance.id"), host.value())
                .build();
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .setResource(resource)
                .addSpanProcessor(processor)
                .build();
        OpenTelemetrySdk sdk =
                OpenTelemetrySdk.builder().setTracerProvider(provider).build();
        return new Tracing(sdk.getTracer(INSTRUMENTATION), sdk::close);
    }

    private static SpanExporter otlp(String endpoint) {
        return OtlpHttpSpanExporter.builder()
                .setEndpoint("http://" + endpoint + "/v1/traces")
                .build();
    }

    private static final class SingleHeader implements TextMapGetter<String> {
        @Override
        public String get(String carrier, String key) {
            return carrier != null && key.equals(TRACEPARENT) && !carrier.isEmpty() ? carrier : null;
        }

        @Override
        @SuppressWarnings("deprecation") // the interface still requires it
        public Iterable<String> keys(String carrier) {
            return List.of(TRACEPARENT);
        }
    }
}
