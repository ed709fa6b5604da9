package org.acaciafold.settings;

/** The destination of finished spans. */
public enum TraceExport {
    /** Spans are not exported. */
    NONE,
    /** Spans are written to the log. */
    LOG,
    /** Spans are sent to an OTLP collector. */
    OTLP
}
