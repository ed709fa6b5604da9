package org.acaciafold.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;

/**
 * Removes the rows of old edits, which only repeated edits and queries for their state need.
 *
 * <p>Rows contain no time, so the host records which version of the tree was in force at which time, and removes the
 * rows that are older than the retention by its own clock. A later repeat of an edit still changes nothing, because the
 * version of the subtree that it expects no longer exists.
 */
final class EditCleanup implements HostSystem {
    /** The time in milliseconds for which the result of an edit can be queried. */
    static final long RETENTION_MS = 3_600_000;

    private static final long INTERVAL_MS = 300_000;
    private static final int PAGE = 200;

    private final HostState state;
    private final Deque<VersionMark> versionMarks = new ArrayDeque<>();
    private boolean calling;
    private long nextRunMs;

    private EditCleanup(HostState state) {
        this.state = state;
    }

    static EditCleanup of(HostState state) {
        return new EditCleanup(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // handles no events; tick does all the work on the tables of other systems
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (calling || nowMs < nextRunMs || !state.registered() || state.stopping()) {
            return;
        }
        nextRunMs = nowMs + INTERVAL_MS;
        versionMarks.add(new VersionMark(nowMs, state.settings().version()));
        long expiredVersion = 0;
        while (nowMs - versionMarks.getFirst().atMs() > RETENTION_MS) {
            expiredVersion = versionMarks.removeFirst().version();
        }
        if (expiredVersion > 0 && isResponsible(nowMs)) {
            scan(expiredVersion, "", outbox);
        }
    }

    /** Returns whether no reachable entry host has a lower identifier, so that normally one host does the cleanup. */
    private boolean isResponsible(long nowMs) {
        return state.entryHosts().keySet().stream()
                .filter(host -> host.compareTo(state.config().host()) < 0)
                .noneMatch((HostId host) -> state.isReachable(host, nowMs));
    }

    private void scan(long expiredVersion, String after, Outbox outbox) {
        calling = true;
        TableRequest request = new TableRequest.Scan(SettingsRows.EDITS, after, PAGE);
        outbox.call(state.clock().nowMs(), request, reply -> {
            calling = false;
            if (reply instanceof TableReply.Rows found && !found.rows().isEmpty()) {
                remove(expiredVersion, found.rows(), outbox);
            }
        });
    }

    private void remove(long expiredVersion, List<Row> rows, Outbox outbox) {
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (Row row : rows) {
            if (row.version() <= expiredVersion) {
                checks.add(new Check(row.key(), row.version()));
                writes.add(new Write(row.key(), Optional.empty()));
            }
        }
        String last = rows.getLast().key();
        if (writes.isEmpty()) {
            scan(expiredVersion, last, outbox);
            return;
        }
        calling = true;
        outbox.call(state.clock().nowMs(), new TableRequest.Commit(checks, writes), reply -> {
            calling = false;
            if (reply instanceof TableReply.Committed) {
                scan(expiredVersion, last, outbox);
            }
        });
    }

    /** The version of the settings that was in force at a time. */
    private record VersionMark(long atMs, long version) {}
}
