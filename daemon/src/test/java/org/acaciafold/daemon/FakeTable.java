package org.acaciafold.daemon;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.clients.TableClient;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import reactor.core.publisher.Mono;

/** An in-memory table service that can be made unavailable. */
final class FakeTable implements TableClient {
    private final Map<String, Row> rows = new TreeMap<>();
    private long version;
    private boolean down;

    @Override
    public Mono<TableReply> call(TableRequest request) {
        return Mono.fromSupplier(() -> answer(request));
    }

    synchronized void down(boolean value) {
        down = value;
    }

    synchronized boolean has(String key) {
        return rows.containsKey(key);
    }

    private synchronized TableReply answer(TableRequest request) {
        if (down) {
            return new TableReply.Unavailable("down");
        }
        return switch (request) {
            case TableRequest.Read read ->
                new TableReply.Rows(read.keys().stream()
                        .distinct()
                        .filter(rows::containsKey)
                        .sorted()
                        .map(rows::get)
                        .toList());
            case TableRequest.Scan scan ->
                new TableReply.Rows(rows.values().stream()
                        .filter(row -> row.key().startsWith(scan.prefix()))
                        .filter(row -> row.key().compareTo(scan.after()) > 0)
                        .limit(scan.limit())
                        .toList());
            case TableRequest.Commit commit -> commit(commit);
        };
    }

    private TableReply commit(TableRequest.Commit commit) {
        for (Check check : commit.checks()) {
            Row row = rows.get(check.key());
            if ((row == null ? 0 : row.version()) != check.version()) {
                return new TableReply.Conflict(current(commit.checks()));
            }
        }
        version++;
        for (Write write : commit.writes()) {
            rows.remove(write.key());
            write.value().ifPresent(value -> rows.put(write.key(), new Row(write.key(), version, value)));
        }
        return new TableReply.Committed(version);
    }

    private List<Row> current(List<Check> checks) {
        return checks.stream()
                .map(Check::key)
                .distinct()
                .filter(rows::containsKey)
                .map(rows::get)
                .toList();
    }
}
