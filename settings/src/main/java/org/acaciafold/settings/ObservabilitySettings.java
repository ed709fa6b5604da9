package org.acaciafold.settings;

/**
 * How logs and traces are written, sections {@code [log]} and {@code [trace]}.
 *
 * @param jsonLogs whether log lines are JSON, {@code format = json}
 * @param traces where spans go, {@code export}
 * @param otlpEndpoint the address of the OTLP collector, {@code otlp}
 */
public record ObservabilitySettings(boolean jsonLogs, TraceExport traces, String otlpEndpoint) {}
