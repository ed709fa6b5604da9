package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.PlacementSummary;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.acaciafold.settings.WorkspaceSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Enforces the upper limit of each workspace across the fleet by escrow.
 *
 * <p>The limit of a workspace is divided into shares, one for each slice, in one row of the table. An owner lowers its
 * allotment in memory before it writes a lower share, and raises it only after its own write of the higher share is
 * confirmed, so the allotments in force never add up to more than the limit. Reading a row never raises an allotment:
 * an earlier write whose reply was lost may still take effect, until a confirmed write makes it conflict. While the
 * table is unresponsive, the allotment of a new owner is at least the usage of the tasks that it finds running.
 */
final class AllotmentSystem implements HostSystem {
    private static final Logger LOG = LoggerFactory.getLogger(AllotmentSystem.class);
    private static final long SCAN_INTERVAL_MS = 2_000;
    private static final long WRITE_INTERVAL_MS = 500;
    private static final int SCAN_LIMIT = 1_000;
    private static final String PREFIX = "allotment/";

    private final HostState state;
    private final Map<WorkspaceId, KnownRow> rows = new HashMap<>();
    private final Set<WorkspaceId> writing = new HashSet<>();
    private final Map<WorkspaceId, Long> unconfirmed = new HashMap<>();
    private final Map<WorkspaceId, Long> nextWriteMs = new HashMap<>();
    private long comparedVersion = -1;
    private long comparedSinceMs;
    private long scannedMs = Times.NEVER_MS;
    private boolean scanning;
    private long nextScanMs;

    private AllotmentSystem(HostState state) {
        this.state = state;
    }

    static AllotmentSystem of(HostState state) {
        return new AllotmentSystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // handles no events; tick does all the work on the tables of other systems
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (nowMs >= nextScanMs && !scanning) {
            scan(nowMs, outbox);
        }
        for (WorkspaceSettings workspace : state.settings().workspaces().values()) {
            for (OwnedSlice slice : state.owned().values()) {
                balance(nowMs, workspace, slice, outbox);
            }
        }
        if (state.settings().version() != comparedVersion) {
            comparedVersion = state.settings().version();
            comparedSinceMs = nowMs;
            nextScanMs = nowMs;
        }
        if (scannedMs >= comparedSinceMs && allWithinLimits()) {
            state.limitsVersion(state.settings().version());
        }
    }

    private boolean allWithinLimits() {
        for (WorkspaceSettings workspace : state.settings().workspaces().values()) {
            KnownRow known = rows.get(workspace.workspace());
            boolean confirmed = known != null
                    && !unconfirmed.containsKey(workspace.workspace())
                    && !writing.contains(workspace.workspace());
            if (!confirmed || !known.row().issued().fitsIn(workspace.limit())) {
                return false;
            }
        }
        return true;
    }

    private void balance(long nowMs, WorkspaceSettings workspace, OwnedSlice slice, Outbox outbox) {
        KnownRow known = rows.get(workspace.workspace());
        Resources usage = slice.placement().usage(workspace.workspace());
        Resources allotment = slice.allotments().getOrDefault(workspace.workspace(), Resources.empty());
        boolean fenceRecorded =
                known != null && known.row().share(slice.id()).fence().equals(slice.fence());
        if (!fenceRecorded) {
            allotment = allotment.max(usage);
        }
        slice.allotments().put(workspace.workspace(), allotment);
        if (known == null || writing.contains(workspace.workspace()) || !slice.hasAuthority(nowMs)) {
            return;
        }
        AllotmentShare share = known.row().share(slice.id());
        if (share.fence().compareTo(slice.fence()) > 0) {
            return;
        }
        Resources missing = slice.missingAllotments().getOrDefault(workspace.workspace(), Resources.empty());
        AllotmentDemand allotmentDemand =
                AllotmentDemand.of(usage, demand(usage, allotment, missing), free(slice), fairShare(slice, workspace));
        Resources target = AllotmentTargets.target(
                known.row(), slice.id(), workspace.limit(), allotmentDemand, state.sliceCount());
        Resources lowered = allotment.min(target);
        slice.allotments().put(workspace.workspace(), lowered);
        AllotmentRow wanted = nextRow(known.row(), slice, workspace, target, usage, allotmentDemand.usable());
        boolean stale = unconfirmed.containsKey(workspace.workspace())
                || !target.min(share.amount()).fitsIn(lowered);
        if ((stale || !wanted.equals(known.row())) && nowMs >= nextWriteMs.getOrDefault(workspace.workspace(), 0L)) {
            write(nowMs, workspace.workspace(), known, wanted, outbox);
        }
    }

    /**
     * Returns the row that the owner of a slice writes next: it releases the unused part of the share and raises the
     * share towards the target as far as the unassigned part allows.
     */
    private static AllotmentRow nextRow(
            AllotmentRow row,
            OwnedSlice slice,
            WorkspaceSettings workspace,
            Resources target,
            Resources usage,
            Resources usable) {
        Resources present = row.share(slice.id()).amount();
        Resources kept = slice.reconciled() ? present.min(target.max(usage)) : present;
        AllotmentShare lower = new AllotmentShare(slice.fence(), kept, Resources.empty());
        AllotmentRow limited = row.with(slice.id(), lower).issue(workspace.limit());
        Resources taken = target.minus(kept).max(Resources.empty()).min(limited.unassigned());
        Resources amount = kept.plus(taken);
        Resources want = usable.min(workspace.limit()).minus(amount).max(Resources.empty());
        return limited.with(slice.id(), new AllotmentShare(slice.fence(), amount, want));
    }

    private void applyConfirmed(WorkspaceId workspace, AllotmentRow row) {
        for (OwnedSlice slice : state.owned().values()) {
            AllotmentShare share = row.share(slice.id());
            if (share.fence().equals(slice.fence())) {
                slice.allotments().put(workspace, share.amount());
            }
        }
    }

    private void readRow(Row row) {
        WorkspaceId workspace = WorkspaceId.of(row.key().substring(PREFIX.length()));
        KnownRow known = rows.get(workspace);
        if (known != null && known.version() > row.version()) {
            return;
        }
        try {
            AllotmentRow content = Codec.json().decode(row.value(), AllotmentRow.class, Step.TABLE, row.key());
            rows.put(workspace, new KnownRow(content, row.version()));
            dropOvertakenWrite(workspace, row.version());
        } catch (AcaciafoldException e) {
            LOG.error("unreadable allotment row of workspace {}: {}", workspace, e.getMessage());
        }
    }

    /**
     * Drops the unconfirmed write of a host without slices once a newer row was read, because the write can no longer
     * take effect.
     */
    private void dropOvertakenWrite(WorkspaceId workspace, long version) {
        Long checkedVersion = unconfirmed.get(workspace);
        if (checkedVersion != null && version > checkedVersion && state.owned().isEmpty()) {
            unconfirmed.remove(workspace);
        }
    }

    /** Adds an empty row in memory for each workspace without one, so that the first owner that needs it creates it. */
    private void addMissingRows() {
        for (WorkspaceId workspace : state.settings().workspaces().keySet()) {
            rows.putIfAbsent(workspace, new KnownRow(AllotmentRow.of(Resources.empty()), 0));
        }
    }

    /**
     * Returns the demand of running and waiting tasks. A missing resource is added to the allotment and not to the
     * usage, because a waiting gang may use only little of the allotment.
     */
    private static Resources demand(Resources usage, Resources allotment, Resources missing) {
        return Resources.of(
                missing.cpuMillis() > 0 ? allotment.cpuMillis() + missing.cpuMillis() : usage.cpuMillis(),
                missing.memoryMib() > 0 ? allotment.memoryMib() + missing.memoryMib() : usage.memoryMib(),
                missing.accelerators() > 0 ? allotment.accelerators() + missing.accelerators() : usage.accelerators());
    }

    private static Resources free(OwnedSlice slice) {
        PlacementSummary summary = slice.placement().summary();
        return summary.capacity().minus(summary.reserved()).max(Resources.empty());
    }

    /** Returns the part of the capacity of a slice that corresponds to the weight of a workspace. */
    private Resources fairShare(OwnedSlice slice, WorkspaceSettings workspace) {
        double weights = state.settings().workspaces().values().stream()
                .mapToDouble(WorkspaceSettings::weight)
                .sum();
        double part = workspace.weight() / weights;
        Resources capacity = slice.placement().summary().capacity();
        return Resources.of((long) (capacity.cpuMillis() * part), (long) (capacity.memoryMib() * part), (long)
                Math.ceil(capacity.accelerators() * part));
    }

    private void scan(long nowMs, Outbox outbox) {
        scanning = true;
        nextScanMs = nowMs + SCAN_INTERVAL_MS;
        outbox.call(nowMs, new TableRequest.Scan(PREFIX, "", SCAN_LIMIT), reply -> {
            scanning = false;
            if (reply instanceof TableReply.Rows found) {
                scannedMs = nowMs;
                found.rows().forEach(this::readRow);
                addMissingRows();
            }
        });
    }

    private void write(long nowMs, WorkspaceId workspace, KnownRow known, AllotmentRow wanted, Outbox outbox) {
        writing.add(workspace);
        nextWriteMs.put(workspace, nowMs + WRITE_INTERVAL_MS);
        String key = PREFIX + workspace;
        byte[] value = Codec.json().encode(wanted, AllotmentRow.class);
        TableRequest request = new TableRequest.Commit(
                List.of(new Check(key, known.version())), List.of(new Write(key, Optional.of(value))));
        outbox.call(nowMs, request, reply -> {
            writing.remove(workspace);
            handleWriteReply(workspace, wanted, known.version(), reply);
        });
    }

    private void handleWriteReply(WorkspaceId workspace, AllotmentRow wanted, long checkedVersion, TableReply reply) {
        switch (reply) {
            case TableReply.Committed committed -> {
                unconfirmed.remove(workspace);
                rows.put(workspace, new KnownRow(wanted, committed.version()));
                applyConfirmed(workspace, wanted);
            }
            case TableReply.Conflict conflict -> conflict.current().forEach(this::readRow);
            case TableReply.Unavailable ignored -> unconfirmed.put(workspace, checkedVersion);
            case TableReply.Rows ignored -> unconfirmed.put(workspace, checkedVersion);
        }
    }

    private record KnownRow(AllotmentRow row, long version) {}
}
