package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;

/** An in-memory table service that simulates outages, lost replies and stale reads. */
final class TestTable {
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private Optional<TreeMap<String, Row>> staleRows = Optional.empty();
    private long lastVersion;
    private int repliesToDrop;
    private boolean down;
    private boolean staleVersion;

    TableReply handle(TableRequest request) {
        if (down) {
            return new TableReply.Unavailable("down");
        }
        TableReply reply = execute(request);
        if (request instanceof TableRequest.Commit && repliesToDrop > 0) {
            repliesToDrop--;
            return new TableReply.Unavailable("answer lost");
        }
        return reply;
    }

    void down(boolean value) {
        down = value;
    }

    void dropCommitReplies(int count) {
        repliesToDrop = count;
    }

    /**
     * Serves later reads of settings subtrees from a snapshot of the current rows.
     *
     * @param withVersion whether reads of the settings version are served from the snapshot as well
     */
    void stale(boolean withVersion) {
        staleVersion = withVersion;
        staleRows = Optional.of(new TreeMap<>(rows));
    }

    /** Serves all reads from the current rows again. */
    void fresh() {
        staleRows = Optional.empty();
    }

    Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    private TableReply execute(TableRequest request) {
        Map<String, Row> readable = readable();
        return switch (request) {
            case TableRequest.Read read ->
                new TableReply.Rows(read.keys().stream()
                        .filter(readable::containsKey)
                        .sorted()
                        .distinct()
                        .map(readable::get)
                        .toList());
            case TableRequest.Scan scan ->
                new TableReply.Rows(readable.values().stream()
                        .filter(row ->
                                row.key().startsWith(scan.prefix()) && row.key().compareTo(scan.after()) > 0)
                        .limit(scan.limit())
                        .toList());
            case TableRequest.Commit commit -> commit(commit);
        };
    }

    private Map<String, Row> readable() {
        Map<String, Row> readable = new TreeMap<>(rows);
        staleRows.ifPresent(stale -> {
            readable.keySet().removeIf(this::isStale);
            stale.values().stream().filter(row -> isStale(row.key())).forEach(row -> readable.put(row.key(), row));
        });
        return readable;
    }

    private boolean isStale(String key) {
        return key.startsWith(SettingsRows.SUBTREES) || staleVersion && key.equals(SettingsRows.HEAD);
    }

    private TableReply commit(TableRequest.Commit commit) {
        List<Row> current = new ArrayList<>();
        boolean checksPass = true;
        for (Check check : commit.checks()) {
            Row row = rows.get(check.key());
            checksPass &= (row == null ? 0 : row.version()) == check.version();
            if (row != null) {
                current.add(row);
            }
        }
        if (!checksPass) {
            return new TableReply.Conflict(current);
        }
        lastVersion++;
        for (Write write : commit.writes()) {
            write.value()
                    .ifPresentOrElse(
                            value -> rows.put(write.key(), new Row(write.key(), lastVersion, value)),
                            () -> rows.remove(write.key()));
        }
        return new TableReply.Committed(lastVersion);
    }
}
