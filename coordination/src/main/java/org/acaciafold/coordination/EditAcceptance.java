package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks whether an edit is in force at every registered entry host.
 *
 * <p>A host registers in a transaction that checks the version of the tree, so a host that is missing from a scan after
 * the edit can register only with the edit in force.
 */
final class EditAcceptance {
    private static final Logger LOG = LoggerFactory.getLogger(EditAcceptance.class);
    private static final int PAGE = 500;

    private final HostState state;

    private EditAcceptance(HostState state) {
        this.state = state;
    }

    static EditAcceptance of(HostState state) {
        return new EditAcceptance(state);
    }

    /**
     * Determines the state of an edit that took effect.
     *
     * @param editId the edit
     * @param version the version of the tree that contains it
     * @param changesLimit whether all workspaces must also be within their limits
     * @param outbox receives the calls to the table
     * @param then receives the reply
     */
    void resolveState(String editId, long version, boolean changesLimit, Outbox outbox, Consumer<ClientReply> then) {
        scan(outbox, "", new ArrayList<>(), reply -> {
            if (reply instanceof TableReply.Rows found) {
                List<String> waitingFor = new ArrayList<>();
                found.rows().stream()
                        .filter(row -> !acknowledged(row, version, changesLimit))
                        .forEach(row -> waitingFor.add(host(row).value()));
                then.accept(new ClientReply.EditState(editId, version, waitingFor.isEmpty(), waitingFor));
            } else {
                TreeSet<String> unconfirmedHosts = new TreeSet<>();
                state.entryHosts().keySet().forEach(host -> unconfirmedHosts.add(host.value()));
                unconfirmedHosts.add(state.config().host().value());
                then.accept(new ClientReply.EditState(editId, version, false, List.copyOf(unconfirmedHosts)));
            }
        });
    }

    private boolean acknowledged(Row row, long version, boolean changesLimit) {
        try {
            SettingsRows.HostRow registered = SettingsRows.decode(row, SettingsRows.HostRow.class);
            if (registered.gone()) {
                return true;
            }
            long limitsWithin = changesLimit ? registered.limitsWithin() : version;
            return limitsWithin >= version
                    && (registered.acknowledged() >= version || announced(row, registered, version));
        } catch (AcaciafoldException e) {
            LOG.error("unreadable registration {}: {}", row.key(), e.getMessage());
            return false;
        }
    }

    /** Returns whether the host announced that the version is in force there; this never reverts. */
    private boolean announced(Row row, SettingsRows.HostRow registered, long version) {
        PeerEntry peer = state.peers().get(host(row));
        return peer != null && peer.incarnation() == registered.incarnation() && peer.settingsVersion() >= version;
    }

    private static HostId host(Row row) {
        return HostId.of(row.key().substring(SettingsRows.HOSTS.length()));
    }

    private void scan(Outbox outbox, String after, List<Row> rows, Consumer<TableReply> then) {
        TableRequest request = new TableRequest.Scan(SettingsRows.HOSTS, after, PAGE);
        outbox.call(state.clock().nowMs(), request, reply -> {
            if (!(reply instanceof TableReply.Rows page)) {
                then.accept(reply);
                return;
            }
            rows.addAll(page.rows());
            if (page.rows().size() == PAGE) {
                scan(outbox, page.rows().getLast().key(), rows, then);
            } else {
                then.accept(new TableReply.Rows(rows));
            }
        });
    }
}
