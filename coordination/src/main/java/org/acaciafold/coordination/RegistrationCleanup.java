package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Marks the registrations of entry hosts of this failure domain that are gone, so that edits do not wait for them.
 *
 * <p>A host counts as gone if the host list no longer contains it, it has sent no heartbeat and not written its
 * registration for the duration of a control lease plus the clock margin, and no row of a slice names it as the owner.
 * The row is removed only when the host could no longer run anything exclusive even if it were alive but partitioned.
 */
final class RegistrationCleanup implements HostSystem {
    private static final Logger LOG = LoggerFactory.getLogger(RegistrationCleanup.class);
    private static final long SCAN_INTERVAL_MS = 5_000;
    private static final int SCAN_LIMIT = 10_000;

    private final HostState state;
    private final Map<HostId, Suspect> suspects = new HashMap<>();
    private boolean calling;
    private long nextScanMs;

    private RegistrationCleanup(HostState state) {
        this.state = state;
    }

    static RegistrationCleanup of(HostState state) {
        return new RegistrationCleanup(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // uses only the tables of other systems
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (calling || nowMs < nextScanMs || !state.registered() || state.stopping()) {
            return;
        }
        nextScanMs = nowMs + SCAN_INTERVAL_MS;
        if (!state.entryHosts().containsKey(state.config().host()) || !isFirstOfDomain(nowMs)) {
            suspects.clear();
            return;
        }
        scan(SettingsRows.HOSTS, outbox, rows -> review(rows, outbox));
    }

    private boolean isFirstOfDomain(long nowMs) {
        for (HostEntry entry : state.entryHosts().values()) {
            HostId host = HostId.of(entry.id());
            boolean sameDomain = entry.domain().equals(state.config().domain());
            if (sameDomain && host.compareTo(state.config().host()) < 0 && state.isReachable(host, nowMs)) {
                return false;
            }
        }
        return true;
    }

    private void review(List<Row> rows, Outbox outbox) {
        long nowMs = state.clock().nowMs();
        Map<HostId, Suspect> gone = new HashMap<>();
        Set<HostId> seen = new HashSet<>();
        for (Row row : rows) {
            HostId host = HostId.of(row.key().substring(SettingsRows.HOSTS.length()));
            if (isGoneCandidate(host, row, nowMs)) {
                seen.add(host);
                Suspect suspect = suspects.get(host);
                if (suspect == null || suspect.version() != row.version()) {
                    suspects.put(host, suspect(row, nowMs));
                } else if (nowMs - suspect.sinceMs() > suspect.boundMs()) {
                    gone.put(host, suspect);
                }
            }
        }
        suspects.keySet().retainAll(seen);
        if (!gone.isEmpty()) {
            scan(SliceRow.prefix(), outbox, slices -> removeUnlessOwners(gone, slices, outbox));
        }
    }

    private boolean isGoneCandidate(HostId host, Row row, long nowMs) {
        if (state.entryHosts().containsKey(host)) {
            return false;
        }
        PeerEntry peer = state.peers().get(host);
        boolean unheard = peer == null || nowMs - peer.lastHeartbeatMs() > validityMs();
        return unheard
                && read(row)
                        .filter(registered ->
                                registered.domain().equals(state.config().domain()))
                        .isPresent();
    }

    private static Optional<SettingsRows.HostRow> read(Row row) {
        try {
            return Optional.of(SettingsRows.decode(row, SettingsRows.HostRow.class));
        } catch (AcaciafoldException e) {
            LOG.error("unreadable registration {}: {}", row.key(), e.getMessage());
            return Optional.empty();
        }
    }

    private Suspect suspect(Row row, long nowMs) {
        SettingsRows.HostRow registered = read(row).orElseThrow();
        long boundMs = registered.gone() ? MemberChange.unknownHostBoundMs(state) : validityMs();
        return new Suspect(row.version(), nowMs, registered, boundMs);
    }

    private void removeUnlessOwners(Map<HostId, Suspect> gone, List<Row> slices, Outbox outbox) {
        Set<String> owners = new HashSet<>();
        boolean readable = true;
        for (Row row : slices) {
            Optional<SliceRow> slice = RowCodec.decode(row, SliceRow.class);
            readable &= slice.isPresent();
            slice.ifPresent(owned -> owners.add(owned.owner()));
        }
        if (!readable) {
            return;
        }
        gone.forEach((host, suspect) -> {
            if (!owners.contains(host.value())) {
                markOrRemove(host, suspect, outbox);
            }
        });
    }

    private void markOrRemove(HostId host, Suspect suspect, Outbox outbox) {
        String key = SettingsRows.host(host);
        boolean marked = suspect.row().gone();
        LOG.info("entry host {} is gone; its registration is {}", host, marked ? "removed" : "marked");
        Write write = marked
                ? new Write(key, Optional.empty())
                : SettingsRows.write(key, suspect.row().asGone(), SettingsRows.HostRow.class);
        TableRequest request = new TableRequest.Commit(List.of(new Check(key, suspect.version())), List.of(write));
        outbox.call(state.clock().nowMs(), request, reply -> suspects.remove(host));
    }

    private void scan(String prefix, Outbox outbox, Consumer<List<Row>> then) {
        calling = true;
        outbox.call(state.clock().nowMs(), new TableRequest.Scan(prefix, "", SCAN_LIMIT), reply -> {
            calling = false;
            if (reply instanceof TableReply.Rows found) {
                then.accept(found.rows());
            }
        });
    }

    private long validityMs() {
        return state.config().controlLeaseMs() + state.config().clockMarginMs();
    }

    /** A registration whose host may be gone, with the row version at which it was first suspected. */
    private record Suspect(long version, long sinceMs, SettingsRows.HostRow row, long boundMs) {}
}
