package org.acaciafold.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;

/** Transactional in-memory table: one version for the whole table; a commit writes nothing unless all checks hold. */
public final class TableStore {
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version;
    private long commits;
    private long reads;

    private TableStore() {}

    /**
     * Creates an empty table.
     *
     * @return the table
     */
    public static TableStore empty() {
        return new TableStore();
    }

    /**
     * Executes a request.
     *
     * @param request the request
     * @return the reply
     */
    public synchronized TableReply call(TableRequest request) {
        return switch (request) {
            case TableRequest.Read read -> read(read);
            case TableRequest.Scan scan -> scan(scan);
            case TableRequest.Commit commit -> commit(commit);
        };
    }

    /**
     * Returns the number of committed transactions.
     *
     * @return the count since the start
     */
    public synchronized long commits() {
        return commits;
    }

    /**
     * Returns the number of reads and scans.
     *
     * @return the count since the start
     */
    public synchronized long reads() {
        return reads;
    }

    private TableReply commit(TableRequest.Commit commit) {
        boolean holds = commit.checks().stream().allMatch(this::holds);
        if (!holds) {
            return new TableReply.Conflict(currentRows(commit.checks()));
        }
        version++;
        commits++;
        for (Write write : commit.writes()) {
            write.value()
                    .ifPresentOrElse(
                            value -> rows.put(write.key(), new Row(write.key(), version, value.clone())),
                            () -> rows.remove(write.key()));
        }
        return new TableReply.Committed(version);
    }

    private boolean holds(Check check) {
        Row row = rows.get(check.key());
        long current = row == null ? 0 : row.version();
        return current == check.version();
    }

    private List<Row> currentRows(List<Check> checks) {
        Map<String, Row> found = new TreeMap<>();
        for (Check check : checks) {
            Row row = rows.get(check.key());
            if (row != null) {
                found.put(check.key(), row);
            }
        }
        return List.copyOf(found.values());
    }

    private TableReply read(TableRequest.Read read) {
        reads++;
        Map<String, Row> found = new TreeMap<>();
        for (String key : read.keys()) {
            Row row = rows.get(key);
            if (row != null) {
                found.put(key, row);
            }
        }
        return new TableReply.Rows(List.copyOf(found.values()));
    }

    private TableReply scan(TableRequest.Scan scan) {
        reads++;
        String from = scan.after().compareTo(scan.prefix()) > 0 ? scan.after() : scan.prefix();
        boolean includeFirst = scan.after().isEmpty() || scan.after().compareTo(scan.prefix()) < 0;
        List<Row> found = new ArrayList<>();
        for (Row row : rows.tailMap(from, includeFirst).values()) {
            if (!row.key().startsWith(scan.prefix()) || found.size() >= scan.limit()) {
                break;
            }
            found.add(row);
        }
        return new TableReply.Rows(List.copyOf(found));
    }
}
