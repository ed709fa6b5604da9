package org.acaciafold.settings;

/**
 * The format of logs and the export of traces, sections {@code [log]} and {@code [trace]}.
 *
 * @param jsonLogs whether log lines are JSON, {@code format = json}
 * @param traces the destination of spans, {@code export}
 * @param otlpEndpoint the address of the OTLP collector, {@code otlp}
 */
public record ObservabilitySettings(boolean jsonLogs, TraceExport traces, String otlpEndpoint) {}
