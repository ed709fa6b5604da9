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
 * Records a span for each hop and passes the W3C trace context on.
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
     * @param observation where spans go
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
     * Creates a tracing that records no span but passes the callers' trace context on.
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

    /** Exports what has not been exported yet and ends. */
    @Override
    public void close() {
        closer.run();
    }

    /**
     * Ends a span.
     *
     * @param span the span
     * @param result how the hop ended, such as an HTTP status or the name of an answer
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
     * @param name the name of the hop: entry, owner, worker or table, and what it does
     * @param kind whether the hop answers or asks
     * @param traceparent the W3C trace context of the hop before, empty for none
     * @return the span, to be ended once
     */
    public Span start(String name, SpanKind kind, String traceparent) {
        Context parent = W3C.extract(Context.root(), traceparent, GETTER);
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /**
     * Returns what to send to the next hop.
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
     * Makes a span the one that the calls to the state machine within a subscription belong to.
     *
     * @param span the span
     * @return what to pass to {@code contextWrite}
     */
    public UnaryOperator<reactor.util.context.Context> within(Span span) {
        String value = traceparent(span);
        return context -> value.isEmpty() ? context : context.put(TRACEPARENT, value);
    }

    /** Returns the trace context that a subscription belongs to, empty for none. */
    static String current(ContextView view) {
        return view.getOrDefault(TRACEPARENT, "");
    }

    /**
     * Starts a span of the state machine, whose calls may serve many requests together.
     *
     * @param name the name of the hop
     * @param requests the trace contexts of the requests served: one is the parent, several are linked
     * @return the span, to be ended once
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
