package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts the settings tree of the table in force on this host, processes edits, and reports when an edit is in force
 * everywhere.
 *
 * <p>The version of the tree is polled, and read at once when a peer announces a newer one. A tree is checked as a
 * whole before it is put in force; a tree of an older version, or one that fails the check, is never put in force.
 */
final class SettingsSystem implements HostSystem {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsSystem.class);
    private static final long POLL_INTERVAL_MS = 1_000;
    private static final long MIN_POLL_INTERVAL_MS = 50;
    private static final long RETRY_AFTER_MS = 2_000;
    private static final int LIST_LIMIT = 10_000;

    private final HostState state;
    private final EditQueue edits;
    private final EditAcceptance acceptance;
    private final Registration registration;
    private StoredTree stored = StoredTree.empty();
    private boolean loading;
    private long announcedVersion;
    private long refusedVersion;
    private long nextPollMs;
    private long nextAnnouncedPollMs;

    private SettingsSystem(HostState state) {
        this.state = state;
        this.edits = EditQueue.of(state, () -> stored);
        this.acceptance = EditAcceptance.of(state);
        this.registration = Registration.of(state);
    }

    static SettingsSystem of(HostState state) {
        return new SettingsSystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        switch (event) {
            case Event.PeerReceived received -> recordAnnouncedVersion(received.message());
            case Event.ClientCalled called -> answer(called.call(), called.body(), outbox);
            default -> {
                // handled by other systems
            }
        }
    }

    @Override
    public boolean idle() {
        return edits.isEmpty();
    }

    @Override
    public boolean released() {
        return registration.released();
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        boolean newerAnnounced = announcedVersion > Math.max(stored.version(), refusedVersion);
        if (!loading && (nowMs >= nextPollMs || newerAnnounced && nowMs >= nextAnnouncedPollMs)) {
            poll(nowMs, outbox);
        }
        edits.tick(nowMs, outbox);
        registration.tick(nowMs, state.settingsKnown(), outbox);
    }

    private void answer(long call, ClientCall body, Outbox outbox) {
        switch (body) {
            case ClientCall.EditSettings edit -> edits.add(edit, result -> edited(call, edit, result, outbox));
            case ClientCall.QueryEdit query -> queryEdit(call, query.editId(), outbox);
            case ClientCall.QuerySettings query -> querySettings(call, query.subtree(), outbox);
            default -> {
                // handled by other systems
            }
        }
    }

    private void edited(long call, ClientCall.EditSettings edit, EditResult result, Outbox outbox) {
        switch (result) {
            case EditResult.Written written -> {
                written.tree().ifPresent(tree -> putInForce(tree, outbox));
                recordAnnouncedVersion(written.version());
                acceptance.resolveState(
                        edit.editId(),
                        written.version(),
                        written.changesLimit(),
                        outbox,
                        reply -> outbox.answer(call, reply));
            }
            case EditResult.Refused refused -> outbox.answer(call, refused.reply());
        }
    }

    private void recordAnnouncedVersion(PeerMessage message) {
        switch (message) {
            case PeerMessage.SettingsChanged changed -> recordAnnouncedVersion(changed.version());
            case PeerMessage.Heartbeat heartbeat -> recordAnnouncedVersion(heartbeat.settingsVersion());
            default -> {
                // handled by other systems
            }
        }
    }

    private void recordAnnouncedVersion(long version) {
        announcedVersion = Math.max(announcedVersion, version);
    }

    private void list(long call, Outbox outbox) {
        TableRequest scan = new TableRequest.Scan(SettingsRows.SUBTREES, "", LIST_LIMIT);
        outbox.call(state.clock().nowMs(), scan, reply -> {
            List<String> paths = reply instanceof TableReply.Rows found
                    ? found.rows().stream()
                            .map(row -> row.key().substring(SettingsRows.SUBTREES.length()))
                            .toList()
                    : List.copyOf(stored.subtrees().keySet());
            String text = paths.isEmpty() ? "" : String.join("\n", paths) + "\n";
            outbox.answer(call, new ClientReply.SettingsFound("", stored.version(), text));
        });
    }

    private void poll(long nowMs, Outbox outbox) {
        loading = true;
        nextPollMs = nowMs + POLL_INTERVAL_MS;
        nextAnnouncedPollMs = nowMs + MIN_POLL_INTERVAL_MS;
        TreeLoader.load(state.clock(), outbox, stored, loaded -> {
            loading = false;
            loaded.ifPresent(tree -> {
                state.settingsKnown(true);
                putInForce(tree, outbox);
            });
        });
    }

    private void putInForce(StoredTree tree, Outbox outbox) {
        if (tree.version() <= stored.version() || tree.version() == refusedVersion) {
            return;
        }
        try {
            state.settings(tree.texts().check());
            stored = tree;
            notifyDomain(outbox);
        } catch (SettingsException e) {
            refusedVersion = tree.version();
            LOG.error("settings version {} rejected: {}", tree.version(), e.getMessage());
        }
    }

    private void queryEdit(long call, String editId, Outbox outbox) {
        String key = SettingsRows.edit(editId);
        outbox.call(state.clock().nowMs(), new TableRequest.Read(List.of(key)), reply -> {
            if (!(reply instanceof TableReply.Rows found)) {
                outbox.answer(call, new ClientReply.Failed(tableUnavailable()));
            } else if (found.rows().isEmpty()) {
                String message = "no edit of this identifier has taken effect";
                Failure unknown = Failure.notRun(Step.SETTINGS, editId, "unknown-edit", message);
                outbox.answer(call, new ClientReply.Failed(unknown));
            } else {
                answerEdit(call, editId, found.rows().getFirst(), outbox);
            }
        });
    }

    private void answerEdit(long call, String editId, Row row, Outbox outbox) {
        try {
            boolean changesLimit =
                    SettingsRows.decode(row, SettingsRows.EditRow.class).changesLimit();
            acceptance.resolveState(editId, row.version(), changesLimit, outbox, reply -> outbox.answer(call, reply));
        } catch (AcaciafoldException e) {
            outbox.answer(call, new ClientReply.Failed(e.failure()));
        }
    }

    private void querySettings(long call, String subtree, Outbox outbox) {
        if (subtree.isEmpty()) {
            list(call, outbox);
        } else {
            querySubtree(call, subtree, outbox);
        }
    }

    private void querySubtree(long call, String subtree, Outbox outbox) {
        TableRequest read = new TableRequest.Read(List.of(SettingsRows.subtree(subtree)));
        outbox.call(state.clock().nowMs(), read, reply -> {
            Optional<StoredTree.Subtree> found =
                    reply instanceof TableReply.Rows rows ? read(rows.rows()) : stored.subtree(subtree);
            long version = found.map(StoredTree.Subtree::version).orElse(0L);
            String text = found.map(StoredTree.Subtree::text).orElse("");
            outbox.answer(call, new ClientReply.SettingsFound(subtree, version, text));
        });
    }

    private static Optional<StoredTree.Subtree> read(List<Row> rows) {
        if (rows.isEmpty()) {
            return Optional.empty();
        }
        Row row = rows.getFirst();
        try {
            String text =
                    SettingsRows.decode(row, SettingsRows.SubtreeRow.class).text();
            return Optional.of(new StoredTree.Subtree(row.version(), text));
        } catch (AcaciafoldException e) {
            LOG.error("unreadable row {}: {}", row.key(), e.getMessage());
            return Optional.of(new StoredTree.Subtree(row.version(), ""));
        }
    }

    private void notifyDomain(Outbox outbox) {
        for (HostEntry entry : state.entryHosts().values()) {
            boolean self = entry.id().equals(state.config().host().value());
            if (!self && entry.domain().equals(state.config().domain())) {
                outbox.send(HostId.of(entry.id()), entry.address(), new PeerMessage.SettingsChanged(stored.version()));
            }
        }
    }

    private static Failure tableUnavailable() {
        return Failure.notRun(Step.TABLE, "table", "table-unavailable", "the table does not answer")
                .withRetryAfterMs(RETRY_AFTER_MS);
    }
}
