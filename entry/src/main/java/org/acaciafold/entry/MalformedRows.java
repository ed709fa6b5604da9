package org.acaciafold.entry;

import java.util.LinkedHashMap;
import java.util.Map;

import org.acaciafold.platform.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the rows that this host ignores, since they hold nothing that it can use.
 *
 * <p>Lists are read again and again, so a row is reported once, and again only for another reason.
 */
final class MalformedRows {
    private static final Logger LOG = LoggerFactory.getLogger(MalformedRows.class);

    /** Bounds the memory for rows that were reported; beyond it, the oldest one is forgotten. */
    private static final int MAX_REMEMBERED = 1_000;

    private static final int MAX_REASON_CHARS = 200;

    private final HostMetrics metrics;
    private final Map<String, String> reasons = new LinkedHashMap<>();

    MalformedRows(HostMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Reports a row.
     *
     * @param row the row
     * @param reason why it is ignored
     */
    synchronized void report(StoredRow row, String reason) {
        String name = row.table() + "/" + row.partition() + "/" + row.key();
        String text = reason.length() > MAX_REASON_CHARS ? reason.substring(0, MAX_REASON_CHARS) : reason;
        if (text.equals(reasons.put(name, text))) {
            return;
        }
        if (reasons.size() > MAX_REMEMBERED) {
            reasons.remove(reasons.keySet().iterator().next());
        }
        LOG.warn("row ignored table={} key={} version={} reason={}", row.table(), row.key(), row.version(), text);
        metrics.rowIgnored(row.table());
    }
}
