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
import org.acaciafold.core.model.TeamId;
import org.acaciafold.core.placement.PlacementSummary;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.acaciafold.settings.TeamSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the upper limit of each team across the fleet by escrow.
 *
 * <p>The limit of a team is divided into shares, one for each slice, in one row of the table. An owner lowers its
 * allotment in memory before it writes a lower share, and raises it only after its own write of the higher share was
 * confirmed; so the allotments in force never add up to more than the limit. A row that was merely read raises nothing:
 * an earlier write whose answer was lost may still take effect, until a confirmed write makes it conflict. While the
 * table does not answer, a new owner has what it sees running.
 */
final class AllotmentSystem implements HostSystem {
    private static final Logger LOG = LoggerFactory.getLogger(AllotmentSystem.class);
    private static final long SCAN_INTERVAL_MS = 2_000;
    private static final long WRITE_INTERVAL_MS = 500;
    private static final int SCAN_LIMIT = 1_000;
    private static final String PREFIX = "allotment/";

    private final HostState state;
    private final Map<TeamId, KnownRow> rows = new HashMap<>();
    private final Set<TeamId> writing = new HashSet<>();
    private final Map<TeamId, Long> unconfirmed = new HashMap<>();
    private final Map<TeamId, Long> nextWriteMs = new HashMap<>();
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
        // works on the tables of other systems only
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (nowMs >= nextScanMs && !scanning) {
            scan(nowMs, outbox);
        }
        for (TeamSettings team : state.settings().teams().values()) {
            for (OwnedSlice slice : state.owned().values()) {
                balance(nowMs, team, slice, outbox);
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
        for (TeamSettings team : state.settings().teams().values()) {
            KnownRow known = rows.get(team.team());
            boolean certain = known != null && !unconfirmed.containsKey(team.team()) && !writing.contains(team.team());
            if (!certain || !known.row().issued().fitsIn(team.limit())) {
                return false;
            }
        }
        return true;
    }

    private void balance(long nowMs, TeamSettings team, OwnedSlice slice, Outbox outbox) {
        KnownRow known = rows.get(team.team());
        Resources usage = slice.placement().usage(team.team());
        Resources held = slice.allotments().getOrDefault(team.team(), Resources.empty());
        boolean fencedIn =
                known != null && known.row().share(slice.id()).fence().equals(slice.fence());
        if (!fencedIn) {
            held = held.max(usage);
        }
        slice.allotments().put(team.team(), held);
        if (known == null || writing.contains(team.team()) || !slice.hasAuthority(nowMs)) {
            return;
        }
        AllotmentShare share = known.row().share(slice.id());
        if (share.fence().compareTo(slice.fence()) > 0) {
            return;
        }
        Resources missing = slice.wanted().getOrDefault(team.team(), Resources.empty());
        AllotmentNeed need = AllotmentNeed.of(usage, needed(usage, held, missing), free(slice), fairPart(slice, team));
        Resources target = AllotmentTargets.target(known.row(), slice.id(), team.limit(), need, state.sliceCount());
        Resources lowered = held.min(target);
        slice.allotments().put(team.team(), lowered);
        AllotmentRow wanted = next(known.row(), slice, team, target, usage, need.usable());
        boolean stale = unconfirmed.containsKey(team.team())
                || !target.min(share.amount()).fitsIn(lowered);
        if ((stale || !wanted.equals(known.row())) && nowMs >= nextWriteMs.getOrDefault(team.team(), 0L)) {
            write(nowMs, team.team(), known, wanted, outbox);
        }
    }

    /** Returns the row that the owner of a slice wants: unused parts given back, needs met as far as possible. */
    private static AllotmentRow next(
            AllotmentRow row,
            OwnedSlice slice,
            TeamSettings team,
            Resources target,
            Resources usage,
            Resources usable) {
        Resources present = row.share(slice.id()).amount();
        Resources kept = slice.settled() ? present.min(target.max(usage)) : present;
        AllotmentShare lower = new AllotmentShare(slice.fence(), kept, Resources.empty());
        AllotmentRow limited = row.with(slice.id(), lower).issue(team.limit());
        Resources taken = target.minus(kept).max(Resources.empty()).min(limited.unassigned());
        Resources amount = kept.plus(taken);
        Resources want = usable.min(team.limit()).minus(amount).max(Resources.empty());
        return limited.with(slice.id(), new AllotmentShare(slice.fence(), amount, want));
    }

    private void confirm(TeamId team, AllotmentRow row) {
        for (OwnedSlice slice : state.owned().values()) {
            AllotmentShare share = row.share(slice.id());
            if (share.fence().equals(slice.fence())) {
                slice.allotments().put(team, share.amount());
            }
        }
    }

    private void learn(Row row) {
        TeamId team = TeamId.of(row.key().substring(PREFIX.length()));
        KnownRow known = rows.get(team);
        if (known != null && known.version() > row.version()) {
            return;
        }
        try {
            AllotmentRow content = Codec.json().decode(row.value(), AllotmentRow.class, Step.TABLE, row.key());
            rows.put(team, new KnownRow(content, row.version()));
            forgetOvertaken(team, row.version());
        } catch (AcaciafoldException e) {
            LOG.error("unreadable allotment row of team {}: {}", team, e.getMessage());
        }
    }

    /** Forgets an unanswered write of a host without slices once the row is newer, so that the write cannot come. */
    private void forgetOvertaken(TeamId team, long version) {
        Long checkedVersion = unconfirmed.get(team);
        if (checkedVersion != null && version > checkedVersion && state.owned().isEmpty()) {
            unconfirmed.remove(team);
        }
    }

    /** Notes the teams without a row, so that the first owner that needs one creates it. */
    private void noteMissing() {
        for (TeamId team : state.settings().teams().keySet()) {
            rows.putIfAbsent(team, new KnownRow(AllotmentRow.of(Resources.empty()), 0));
        }
    }

    /** Returns what runs and waits; what is missing is counted beyond the allotment, of which a gang may use little. */
    private static Resources needed(Resources usage, Resources held, Resources missing) {
        return Resources.of(
                missing.cpuMillis() > 0 ? held.cpuMillis() + missing.cpuMillis() : usage.cpuMillis(),
                missing.memoryMib() > 0 ? held.memoryMib() + missing.memoryMib() : usage.memoryMib(),
                missing.accelerators() > 0 ? held.accelerators() + missing.accelerators() : usage.accelerators());
    }

    private static Resources free(OwnedSlice slice) {
        PlacementSummary summary = slice.placement().summary();
        return summary.capacity().minus(summary.reserved()).max(Resources.empty());
    }

    /** Returns the part of a slice that the weight of a team entitles it to. */
    private Resources fairPart(OwnedSlice slice, TeamSettings team) {
        double weights = state.settings().teams().values().stream()
                .mapToDouble(TeamSettings::weight)
                .sum();
        double part = team.weight() / weights;
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
                found.rows().forEach(this::learn);
                noteMissing();
            }
        });
    }

    private void write(long nowMs, TeamId team, KnownRow known, AllotmentRow wanted, Outbox outbox) {
        writing.add(team);
        nextWriteMs.put(team, nowMs + WRITE_INTERVAL_MS);
        String key = PREFIX + team;
        byte[] value = Codec.json().encode(wanted, AllotmentRow.class);
        TableRequest request = new TableRequest.Commit(
                List.of(new Check(key, known.version())), List.of(new Write(key, Optional.of(value))));
        outbox.call(nowMs, request, reply -> {
            writing.remove(team);
            written(team, wanted, known.version(), reply);
        });
    }

    private void written(TeamId team, AllotmentRow wanted, long checkedVersion, TableReply reply) {
        switch (reply) {
            case TableReply.Committed committed -> {
                unconfirmed.remove(team);
                rows.put(team, new KnownRow(wanted, committed.version()));
                confirm(team, wanted);
            }
            case TableReply.Conflict conflict -> conflict.current().forEach(this::learn);
            case TableReply.Unavailable ignored -> unconfirmed.put(team, checkedVersion);
            case TableReply.Rows ignored -> unconfirmed.put(team, checkedVersion);
        }
    }

    private record KnownRow(AllotmentRow row, long version) {}
}
