package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;

/**
 * Writes many independent changes in one transaction.
 *
 * <p>One transaction is in flight at a time; changes that arrive meanwhile go into the next one. When a check fails,
 * the changes concerned are notified and the others are sent again. A transaction without a reply is sent again after a
 * pause.
 *
 * <p>Example: {@code commits.add(write); ... commits.tick(nowMs, outbox);}
 */
final class GroupCommit {
    private static final int MAX_CHANGES = 256;
    private static final long RETRY_PAUSE_MS = 200;

    private final Set<TableWrite> queue = new LinkedHashSet<>();
    private boolean inFlight;
    private long notBeforeMs = Times.NEVER_MS;

    private GroupCommit() {}

    static GroupCommit empty() {
        return new GroupCommit();
    }

    /** Adds a change to the next transaction. */
    void add(TableWrite write) {
        queue.add(write);
    }

    /** Returns whether no change is queued and no transaction is in flight. */
    boolean idle() {
        return queue.isEmpty() && !inFlight;
    }

    /** Sends the next transaction unless one is in flight. */
    void tick(long nowMs, Outbox outbox) {
        queue.removeIf(TableWrite::abandoned);
        if (inFlight || queue.isEmpty() || nowMs < notBeforeMs) {
            return;
        }
        List<TableWrite> batch = nextBatch();
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (TableWrite change : batch) {
            change.sending();
            checks.addAll(change.checks());
            writes.addAll(change.writes());
        }
        inFlight = true;
        outbox.call(nowMs, new TableRequest.Commit(checks, writes), reply -> {
            inFlight = false;
            handleReply(batch, reply, nowMs);
        });
    }

    /**
     * Removes the next changes from the queue in order. Skips a change that checks a row that an earlier change writes,
     * or that writes a row that an earlier change checks.
     */
    private List<TableWrite> nextBatch() {
        List<TableWrite> batch = new ArrayList<>();
        Set<String> checked = new HashSet<>();
        Set<String> written = new HashSet<>();
        for (TableWrite change : queue) {
            List<String> checks = change.checks().stream().map(Check::key).toList();
            List<String> writes = change.writes().stream().map(Write::key).toList();
            boolean independent = checks.stream().noneMatch(written::contains)
                    && writes.stream().noneMatch(checked::contains);
            checked.addAll(checks);
            written.addAll(writes);
            if (independent) {
                batch.add(change);
            }
            if (batch.size() == MAX_CHANGES) {
                break;
            }
        }
        batch.forEach(queue::remove);
        return batch;
    }

    private void handleReply(List<TableWrite> batch, TableReply reply, long sentMs) {
        switch (reply) {
            case TableReply.Committed committed -> batch.forEach(change -> change.committed(committed.version()));
            case TableReply.Conflict conflict -> handleConflict(batch, conflict.current());
            case TableReply.Rows ignored -> throw new IllegalStateException("unexpected reply to a commit: Rows");
            case TableReply.Unavailable ignored -> {
                notBeforeMs = sentMs + RETRY_PAUSE_MS;
                batch.forEach(TableWrite::unanswered);
                requeueFirst(batch);
            }
        }
    }

    private void handleConflict(List<TableWrite> batch, List<Row> rows) {
        Map<String, Row> current = new HashMap<>();
        rows.forEach(row -> current.put(row.key(), row));
        List<TableWrite> satisfied = new ArrayList<>();
        for (TableWrite change : batch) {
            if (change.checks().stream().allMatch(check -> isSatisfied(check, current))) {
                satisfied.add(change);
            } else {
                change.conflicted(current);
            }
        }
        requeueFirst(satisfied);
    }

    private void requeueFirst(List<TableWrite> changes) {
        List<TableWrite> later = new ArrayList<>(queue);
        queue.clear();
        queue.addAll(changes);
        queue.addAll(later);
    }

    private static boolean isSatisfied(Check check, Map<String, Row> current) {
        Row row = current.get(check.key());
        return (row == null ? 0 : row.version()) == check.version();
    }
}
