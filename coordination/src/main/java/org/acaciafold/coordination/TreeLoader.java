package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the settings tree from the table at one version.
 *
 * <p>The head row lists the latest changes with their versions, so a host that lags by a few versions reads only the
 * changed subtrees; a row whose version differs from the one in the head shows that the two reads belong to different
 * versions. A host that lags further reads all subtrees between two equal reads of the head and compares them with the
 * changes listed there.
 */
final class TreeLoader {
    private static final Logger LOG = LoggerFactory.getLogger(TreeLoader.class);
    private static final int PAGE = 500;

    private final Clock clock;
    private final Outbox outbox;
    private final StoredTree base;
    private final Consumer<Optional<StoredTree>> then;

    private TreeLoader(Clock clock, Outbox outbox, StoredTree base, Consumer<Optional<StoredTree>> then) {
        this.clock = clock;
        this.outbox = outbox;
        this.base = base;
        this.then = then;
    }

    /**
     * Reads the tree.
     *
     * @param clock the clock of the process
     * @param outbox the outbox that receives the calls
     * @param base the known tree, returned if the table has no newer one
     * @param then the callback for the tree; empty if the table is unavailable, a row is unreadable or the tree changed
     *     during the read
     */
    static void load(Clock clock, Outbox outbox, StoredTree base, Consumer<Optional<StoredTree>> then) {
        TreeLoader loader = new TreeLoader(clock, outbox, base, then);
        loader.readHead(loader::headRead);
    }

    private void headRead(Optional<Row> row) {
        long version = row.map(Row::version).orElse(0L);
        if (version <= base.version()) {
            then.accept(Optional.of(base));
            return;
        }
        decode(row.orElseThrow(), SettingsRows.Head.class).ifPresent(head -> {
            Optional<List<SettingsRows.Change>> changes =
                    base.version() == 0 ? Optional.empty() : head.changesAfter(base.version(), version);
            changes.ifPresentOrElse(
                    changed -> readChanges(version, head, changed), () -> scan(version, head, "", new TreeMap<>()));
        });
    }

    private void readChanges(long version, SettingsRows.Head head, List<SettingsRows.Change> changes) {
        List<String> keys = changes.stream()
                .map(change -> SettingsRows.subtree(change.subtree()))
                .toList();
        rows(new TableRequest.Read(keys), rows -> {
            Map<String, StoredTree.Subtree> subtrees = new TreeMap<>(base.subtrees());
            Map<String, Row> found = new HashMap<>();
            rows.forEach(row -> found.put(row.key(), row));
            for (SettingsRows.Change change : changes) {
                Row row = found.get(SettingsRows.subtree(change.subtree()));
                if (!apply(change, row, subtrees)) {
                    then.accept(Optional.empty());
                    return;
                }
            }
            then.accept(Optional.of(StoredTree.of(version, head, subtrees)));
        });
    }

    private static boolean apply(SettingsRows.Change change, Row row, Map<String, StoredTree.Subtree> subtrees) {
        if (change.removed()) {
            subtrees.remove(change.subtree());
            return row == null;
        }
        if (row == null || row.version() != change.version()) {
            return false;
        }
        return put(row, subtrees);
    }

    private void readHead(Consumer<Optional<Row>> withRow) {
        rows(
                new TableRequest.Read(List.of(SettingsRows.HEAD)),
                rows -> withRow.accept(rows.stream().findFirst()));
    }

    private void scan(long version, SettingsRows.Head head, String after, Map<String, StoredTree.Subtree> subtrees) {
        rows(new TableRequest.Scan(SettingsRows.SUBTREES, after, PAGE), rows -> {
            for (Row row : rows) {
                if (row.version() > version || !put(row, subtrees)) {
                    then.accept(Optional.empty());
                    return;
                }
            }
            if (rows.size() == PAGE) {
                scan(version, head, rows.getLast().key(), subtrees);
                return;
            }
            readHead(secondRead -> {
                boolean same = secondRead.map(Row::version).orElse(0L) == version;
                boolean current = head.lastChanges(version).stream().allMatch(change -> reflects(change, subtrees));
                then.accept(same && current ? Optional.of(StoredTree.of(version, head, subtrees)) : Optional.empty());
            });
        });
    }

    private <T> Optional<T> decode(Row row, Class<T> type) {
        try {
            return Optional.of(SettingsRows.decode(row, type));
        } catch (AcaciafoldException e) {
            LOG.error("unreadable row {} of version {}: {}", row.key(), row.version(), e.getMessage());
            then.accept(Optional.empty());
            return Optional.empty();
        }
    }

    private static boolean reflects(SettingsRows.Change change, Map<String, StoredTree.Subtree> subtrees) {
        StoredTree.Subtree subtree = subtrees.get(change.subtree());
        return change.removed() ? subtree == null : subtree != null && subtree.version() == change.version();
    }

    private static boolean put(Row row, Map<String, StoredTree.Subtree> subtrees) {
        try {
            String text =
                    SettingsRows.decode(row, SettingsRows.SubtreeRow.class).text();
            String path = row.key().substring(SettingsRows.SUBTREES.length());
            subtrees.put(path, new StoredTree.Subtree(row.version(), text));
            return true;
        } catch (AcaciafoldException e) {
            LOG.error("unreadable row {} of version {}: {}", row.key(), row.version(), e.getMessage());
            return false;
        }
    }

    private void rows(TableRequest request, Consumer<List<Row>> withRows) {
        outbox.call(clock.nowMs(), request, reply -> {
            if (reply instanceof TableReply.Rows found) {
                withRows.accept(new ArrayList<>(found.rows()));
            } else {
                then.accept(Optional.empty());
            }
        });
    }
}
