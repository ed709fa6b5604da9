package org.acaciafold.settings;

/** Where finished spans go. */
public enum TraceExport {
    /** Nowhere. */
    NONE,
    /** To the log. */
    LOG,
    /** To an OTLP collector. */
    OTLP
}
