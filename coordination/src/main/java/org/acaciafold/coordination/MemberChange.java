package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.settings.WorkspaceSettings;

/**
 * Determines when the former members of a slice may be dropped from its row.
 *
 * <p>Every registered entry host of the failure domain can take over the slice without the table, with a majority of
 * the members that it has read. Each of them must therefore acknowledge that it has read the current members. A host
 * that does not, such as a crashed one, may run nothing exclusive once its last contact with the table is older than a
 * bound; a host that had contact after the change was written has read it.
 *
 * <p>The change does not wait for a host whose registration was removed as gone. Such a host could act on the former
 * members only if it reached a majority of them but, during all that time, neither the table nor any peer of its own
 * failure domain.
 */
final class MemberChange {
    private static final long SCAN_INTERVAL_MS = 2_000;

    /** The number of clock margins that are added to the durations of the leases. */
    private static final int LEASE_MARGINS = 4;

    private static final int MAX_HOSTS = 10_000;

    private final HostState state;
    private final Map<HostId, Long> acknowledged = new HashMap<>();
    private long generation = -1;
    private long sinceMs;
    private long nextScanMs;
    private Optional<Set<HostId>> registered = Optional.empty();

    private MemberChange(HostState state) {
        this.state = state;
    }

    static MemberChange of(HostState state) {
        return new MemberChange(state);
    }

    /** Returns the time in milliseconds without the table after which no host may run anything exclusive. */
    static long unknownHostBoundMs(HostState state) {
        HostConfig config = state.config();
        long rehomeAfterMs = state.settings().workspaces().values().stream()
                .mapToLong(WorkspaceSettings::rehomeAfterMs)
                .max()
                .orElse(ExclusiveTaskBound.DEFAULT_REHOME_AFTER_MS);
        return rehomeAfterMs + config.controlLeaseMs() + config.taskLeaseMs() + LEASE_MARGINS * config.clockMarginMs();
    }

    /** Records that a host has read a generation of the members. */
    void acknowledged(HostId host, long knownGeneration) {
        acknowledged.merge(host, knownGeneration, Math::max);
    }

    /**
     * Returns whether the former members may be dropped, after all hosts have acknowledged or the bound has passed.
     *
     * @param row the row of the slice as stored in the table
     * @param nowMs the time in milliseconds
     * @param outbox the outbox that receives the calls
     * @return true if no host can act on former members alone
     */
    boolean mayDropFormerMembers(SliceRow row, long nowMs, Outbox outbox) {
        if (row.generation() != generation) {
            generation = row.generation();
            sinceMs = nowMs;
            nextScanMs = nowMs;
            registered = Optional.empty();
        }
        if (nowMs >= nextScanMs) {
            scan(nowMs, outbox);
        }
        boolean allAcknowledged = registered.isPresent()
                && registered.get().stream().allMatch(host -> acknowledged.getOrDefault(host, -1L) >= generation);
        return allAcknowledged || nowMs > sinceMs + unknownHostBoundMs(state);
    }

    private void scan(long nowMs, Outbox outbox) {
        nextScanMs = nowMs + SCAN_INTERVAL_MS;
        long scanned = generation;
        outbox.call(nowMs, new TableRequest.Scan(SettingsRows.HOSTS, "", MAX_HOSTS), reply -> {
            if (reply instanceof TableReply.Rows rows && scanned == generation) {
                Set<HostId> hosts = new HashSet<>();
                rows.rows().forEach(row -> localPeer(row).ifPresent(hosts::add));
                registered = Optional.of(hosts);
            }
        });
    }

    /** Returns the host of a registration if it is a peer that may take over slices of this host's failure domain. */
    private Optional<HostId> localPeer(Row row) {
        HostId host = HostId.of(row.key().substring(SettingsRows.HOSTS.length()));
        if (host.equals(state.config().host())) {
            return Optional.empty();
        }
        try {
            boolean local = SettingsRows.decode(row, SettingsRows.HostRow.class)
                    .domain()
                    .equals(state.config().domain());
            return local ? Optional.of(host) : Optional.empty();
        } catch (AcaciafoldException e) {
            return Optional.of(host);
        }
    }
}
