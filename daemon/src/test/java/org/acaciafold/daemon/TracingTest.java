package org.acaciafold.daemon;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.acaciafold.core.model.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TracingTest {
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";
    private static final String PARENT = "b7ad6b7169203331";
    private static final String CALLER = "00-" + TRACE + "-" + PARENT + "-01";

    private final List<SpanData> ended = new CopyOnWriteArrayList<>();
    private final SpanExporter spans = exporter(ended);

    // -- start

    @Test
    void shouldChainASpanForEachHopWhenTheContextIsPassedOn() {
        try (Tracing entry = Tracing.exporting(spans, HostId.of("h1"));
                Tracing owner = Tracing.exporting(spans, HostId.of("h2"))) {
            Span first = entry.start("entry", SpanKind.SERVER, CALLER);
            Span second = owner.start("owner", SpanKind.SERVER, entry.traceparent(first));
            owner.end(second, "502", true);
            entry.end(first, "200", false);
        }

        assertEquals(2, ended.size());
        SpanData owner = ended.get(0);
        SpanData entry = ended.get(1);
        assertEquals(TRACE, owner.getTraceId());
        assertEquals(entry.getSpanId(), owner.getParentSpanId());
        assertEquals(PARENT, entry.getParentSpanId());
        assertEquals(StatusCode.ERROR, owner.getStatus().getStatusCode());
        assertEquals(StatusCode.UNSET, entry.getStatus().getStatusCode());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "00", "00-zz-b7ad6b7169203331-01", "00-" + TRACE + "-0000000000000000-01"})
    void shouldStartATraceWhenTheContextIsMissingOrMalformed(String traceparent) {
        try (Tracing tracing = Tracing.exporting(spans, HostId.of("h1"))) {
            tracing.end(tracing.start("entry", SpanKind.SERVER, traceparent), "200", false);
        }

        assertNotEquals(TRACE, ended.getFirst().getTraceId());
        assertEquals("0000000000000000", ended.getFirst().getParentSpanId());
    }

    // -- traceparent

    @Test
    void shouldPassTheCallersContextOnWhenNothingIsExported() {
        Tracing tracing = Tracing.none();

        String passedOn = tracing.traceparent(tracing.start("entry", SpanKind.SERVER, CALLER));
        String withoutCaller = tracing.traceparent(tracing.start("entry", SpanKind.SERVER, ""));

        assertEquals(CALLER, passedOn);
        assertTrue(withoutCaller.isEmpty(), withoutCaller);
    }

    /** Returns an exporter that adds each ended span to a list. */
    static SpanExporter exporter(List<SpanData> ended) {
        return new SpanExporter() {
            @Override
            public CompletableResultCode export(Collection<SpanData> batch) {
                ended.addAll(batch);
                return CompletableResultCode.ofSuccess();
            }

            @Override
            public CompletableResultCode flush() {
                return CompletableResultCode.ofSuccess();
            }

            @Override
            public CompletableResultCode shutdown() {
                return CompletableResultCode.ofSuccess();
            }
        };
    }
}
