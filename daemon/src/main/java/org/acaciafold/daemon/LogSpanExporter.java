package org.acaciafold.daemon;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Exports each ended span as one line of the log. */
final class LogSpanExporter implements SpanExporter {
    private static final Logger LOG = LoggerFactory.getLogger("org.acaciafold.span");

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(LogSpanExporter::write);
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

    private static void write(SpanData span) {
        long tookMicros = TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos());
        LOG.info(
                "span {} trace={} id={} parent={} took_us={} status={} {}",
                span.getName(),
                span.getTraceId(),
                span.getSpanId(),
                span.getParentSpanId(),
                tookMicros,
                span.getStatus().getStatusCode(),
                span.getAttributes().asMap());
    }
}
