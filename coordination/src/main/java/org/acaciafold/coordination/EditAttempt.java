package org.acaciafold.coordination;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.acaciafold.settings.FleetSettings;
import org.acaciafold.settings.SettingsException;
import org.acaciafold.settings.SettingsTree;

/**
 * Writes one edit of the settings to the table.
 *
 * <p>The transaction checks that the tree still has the version that was validated, that the subtree still has the
 * version that the operator read, and that the identifier of the edit is new. After a lost reply the same transaction
 * is sent again: a conflict that contains the identifier means that the first transaction took effect; any other
 * conflict means that neither can take effect any more.
 */
final class EditAttempt {
    /** An edit of a workspace may repeat a limit that an earlier edit set and that is not yet in force. */
    private static final String WORKSPACE_PREFIX = "workspace/";

    private static final long DEADLINE_MS = 3_000;
    private static final long RETRY_MS = 50;
    private static final long RETRY_AFTER_MS = 2_000;
    private static final String TABLE = "table";

    private final HostState state;
    private final Supplier<StoredTree> known;
    private final ClientCall.EditSettings edit;
    private final Consumer<EditResult> then;
    private final long deadlineMs;
    private final String digest;
    private boolean mayHaveTakenEffect;
    private boolean finished;
    private boolean calling;
    private long notBeforeMs;
    private Optional<PreparedEdit> prepared = Optional.empty();

    private EditAttempt(
            HostState state, Supplier<StoredTree> known, ClientCall.EditSettings edit, Consumer<EditResult> then) {
        this.state = state;
        this.known = known;
        this.edit = edit;
        this.then = then;
        this.deadlineMs = state.clock().nowMs() + DEADLINE_MS;
        this.digest = digest(edit);
    }

    /**
     * Creates an attempt, whose deadline starts now.
     *
     * @param state the tables of the host
     * @param known supplies the newest tree that this host has read
     * @param edit the edit
     * @param then receives the result, exactly once
     * @return the attempt
     */
    static EditAttempt of(
            HostState state, Supplier<StoredTree> known, ClientCall.EditSettings edit, Consumer<EditResult> then) {
        return new EditAttempt(state, known, edit, then);
    }

    boolean finished() {
        return finished;
    }

    /**
     * Starts the next step, unless a call is in flight.
     *
     * @param nowMs the time in milliseconds
     * @param outbox receives the calls to the table
     */
    void tick(long nowMs, Outbox outbox) {
        if (finished || calling || nowMs < notBeforeMs) {
            return;
        }
        if (nowMs >= deadlineMs) {
            failExpired();
        } else if (prepared.isPresent()) {
            commit(prepared.get(), outbox);
        } else {
            findRepeat(outbox, () -> load(outbox));
        }
    }

    private void commit(PreparedEdit commit, Outbox outbox) {
        call(outbox, commit.request(), reply -> {
            switch (reply) {
                case TableReply.Committed committed ->
                    finish(new EditResult.Written(
                            committed.version(),
                            commit.changesLimit(),
                            Optional.of(commit.written(committed.version()))));
                case TableReply.Conflict conflict -> handleConflict(conflict.current());
                case TableReply.Unavailable ignored -> {
                    mayHaveTakenEffect = true;
                    notBeforeMs = state.clock().nowMs() + RETRY_MS;
                }
                case TableReply.Rows ignored -> throw new IllegalStateException("unexpected reply to a commit: Rows");
            }
        });
    }

    private void handleConflict(List<Row> current) {
        mayHaveTakenEffect = false;
        prepared = Optional.empty();
        for (Row row : current) {
            if (row.key().equals(SettingsRows.edit(edit.editId()))) {
                finishRepeat(row);
                return;
            }
        }
    }

    private void findRepeat(Outbox outbox, Runnable otherwise) {
        TableRequest read = new TableRequest.Read(List.of(SettingsRows.edit(edit.editId())));
        call(outbox, read, reply -> {
            if (!(reply instanceof TableReply.Rows found)) {
                finish(new EditResult.Refused(new ClientReply.Failed(tableUnavailable())));
            } else if (found.rows().isEmpty()) {
                otherwise.run();
            } else {
                finishRepeat(found.rows().getFirst());
            }
        });
    }

    private void load(Outbox outbox) {
        calling = true;
        TreeLoader.load(state.clock(), outbox, known.get(), tree -> {
            calling = false;
            if (tree.isPresent()) {
                prepare(tree.get(), outbox);
            } else {
                notBeforeMs = state.clock().nowMs() + RETRY_MS;
            }
        });
    }

    private void prepare(StoredTree tree, Outbox outbox) {
        Optional<StoredTree.Subtree> present = tree.subtree(edit.subtree());
        long version = present.map(StoredTree.Subtree::version).orElse(0L);
        if (version != edit.expected()) {
            String text = present.map(StoredTree.Subtree::text).orElse("");
            ClientReply conflict = new ClientReply.EditConflict(version, text);
            findRepeat(outbox, () -> finish(new EditResult.Refused(conflict)));
            return;
        }
        try {
            prepared = Optional.of(prepareCommit(tree));
            commit(prepared.get(), outbox);
        } catch (SettingsException e) {
            finish(new EditResult.Refused(new ClientReply.Failed(e.failure())));
        }
    }

    private PreparedEdit prepareCommit(StoredTree tree) throws SettingsException {
        SettingsTree texts = tree.texts();
        SettingsTree changed = edit.text()
                .map(text -> texts.with(edit.subtree(), text))
                .orElseGet(() -> texts.without(edit.subtree()));
        FleetSettings checked = changed.check();
        boolean changesLimit = edit.subtree().startsWith(WORKSPACE_PREFIX) || changesLimit(texts, checked);
        SettingsRows.Head head = tree.nextHead(edit.subtree(), edit.text().isEmpty());
        String subtreeKey = SettingsRows.subtree(edit.subtree());
        String editKey = SettingsRows.edit(edit.editId());
        List<Check> checks = List.of(
                new Check(SettingsRows.HEAD, tree.version()),
                new Check(subtreeKey, edit.expected()),
                new Check(editKey, 0));
        SettingsRows.EditRow editRow = new SettingsRows.EditRow(digest, changesLimit);
        Write subtreeWrite = edit.text()
                .map(text -> new SettingsRows.SubtreeRow(edit.editId(), text))
                .map(row -> SettingsRows.write(subtreeKey, row, SettingsRows.SubtreeRow.class))
                .orElseGet(() -> new Write(subtreeKey, Optional.empty()));
        List<Write> writes = List.of(
                SettingsRows.write(SettingsRows.HEAD, head, SettingsRows.Head.class),
                subtreeWrite,
                SettingsRows.write(editKey, editRow, SettingsRows.EditRow.class));
        return new PreparedEdit(tree, head, edit, changesLimit, new TableRequest.Commit(checks, writes));
    }

    /**
     * Returns whether the edit changes the limit of a workspace, so that tasks may have to be stopped before it is in
     * force.
     */
    private boolean changesLimit(SettingsTree before, FleetSettings after) {
        try {
            FleetSettings present = before.check();
            return present.workspaces().values().stream()
                    .anyMatch(workspace -> !workspace
                            .limit()
                            .equals(after.workspace(workspace.workspace())
                                    .map(next -> next.limit())
                                    .orElse(null)));
        } catch (SettingsException e) {
            return true;
        }
    }

    private void finishRepeat(Row row) {
        try {
            SettingsRows.EditRow found = SettingsRows.decode(row, SettingsRows.EditRow.class);
            finish(
                    found.digest().equals(digest)
                            ? new EditResult.Written(row.version(), found.changesLimit(), Optional.empty())
                            : new EditResult.Refused(new ClientReply.Failed(reused())));
        } catch (AcaciafoldException e) {
            finish(new EditResult.Refused(new ClientReply.Failed(e.failure())));
        }
    }

    private void call(Outbox outbox, TableRequest request, Consumer<TableReply> withReply) {
        calling = true;
        outbox.call(state.clock().nowMs(), request, reply -> {
            calling = false;
            withReply.accept(reply);
        });
    }

    private void finish(EditResult result) {
        finished = true;
        then.accept(result);
    }

    private void failExpired() {
        Failure failure = mayHaveTakenEffect
                ? Failure.unknown(
                        Step.TABLE,
                        TABLE,
                        "edit-unknown",
                        "the edit may have taken effect; ask for edit " + edit.editId())
                : tableUnavailable();
        finish(new EditResult.Refused(new ClientReply.Failed(failure)));
    }

    private static Failure tableUnavailable() {
        return Failure.notRun(Step.TABLE, TABLE, "table-unavailable", "the table does not answer; nothing was written")
                .withRetryAfterMs(RETRY_AFTER_MS);
    }

    private static String digest(ClientCall.EditSettings edit) {
        String whole =
                edit.subtree() + '\n' + edit.expected() + '\n' + edit.text().orElse("\n");
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(whole.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private Failure reused() {
        return Failure.notRun(
                Step.SETTINGS, edit.editId(), "edit-reused", "another edit has this identifier; use a new one");
    }
}
