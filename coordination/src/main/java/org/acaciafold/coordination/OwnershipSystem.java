package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiFunction;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over slices of this host's failure domain and gives them up.
 *
 * <p>While the table is available, the row of the slice names the owner; otherwise a majority of the workers determines
 * it. In both cases an owner has authority only while a majority of the members of the slice grants its control lease.
 */
final class OwnershipSystem implements HostSystem {
    private static final Logger LOG = LoggerFactory.getLogger(OwnershipSystem.class);
    private static final int READ_INTERVAL_HEARTBEATS = 2;

    /** The number of heartbeat intervals between two ticks above which the process counts as paused. */
    private static final int PAUSE_HEARTBEATS = 2;

    private static final long REVIEW_INTERVAL_MS = 50;

    /** The time without authority, in control leases, after which a slice is given up if the table is unavailable. */
    private static final int AUTHORITY_TIMEOUT_LEASES = 2;

    private final HostState state;
    private final BiFunction<SliceId, Fence, PlacementEngine> engines;
    private final SliceRenewal renewal;
    private final SliceRelease release;
    private final Map<SliceId, SliceWatch> watches = new TreeMap<>();
    private long nextReadMs;
    private boolean readInFlight;
    private long nextReviewMs = Times.NEVER_MS;
    private long lastTickMs = Times.NEVER_MS;
    private long registeredMs = Times.NEVER_MS;

    private OwnershipSystem(HostState state, BiFunction<SliceId, Fence, PlacementEngine> engines) {
        this.state = state;
        this.engines = engines;
        this.release = SliceRelease.of(state);
        this.renewal = SliceRenewal.of(state, this::giveUp);
    }

    static OwnershipSystem of(HostState state, BiFunction<SliceId, Fence, PlacementEngine> engines) {
        return new OwnershipSystem(state, engines);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (!(event instanceof Event.PeerReceived received)) {
            return;
        }
        switch (received.message()) {
            case PeerMessage.Heartbeat heartbeat ->
                heartbeat.slices().forEach(summary -> observeFence(summary.slice(), summary.fence(), outbox));
            case PeerMessage.Handover handover -> {
                watch(handover.slice()).raiseHighest(handover.fence());
                nextReadMs = state.clock().nowMs();
            }
            case PeerMessage.MembersKnown known ->
                renewal.acknowledged(received.from(), known.slice(), known.generation());
            default -> {
                // handled by other systems
            }
        }
    }

    @Override
    public boolean idle() {
        return state.owned().isEmpty() && release.idle();
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (nowMs - lastTickMs > PAUSE_HEARTBEATS * state.config().heartbeatMs()) {
            restartWaits(nowMs);
        }
        lastTickMs = nowMs;
        if (state.stopping()) {
            if (state.drained()) {
                List.copyOf(state.owned().values()).forEach(slice -> {
                    state.owned().remove(slice.id());
                    release.handOver(slice, nowMs, outbox);
                });
            }
        } else if (state.registered()) {
            registeredMs = nowMs;
            readRows(nowMs, outbox);
        } else {
            actWithoutRegistration(nowMs, outbox);
        }
        boolean review = nowMs >= nextReviewMs;
        if (review) {
            nextReviewMs = nowMs + REVIEW_INTERVAL_MS;
        }
        if (review && !state.stopping() && state.registered()) {
            Slices.local(state).forEach(slice -> considerTakeover(slice, nowMs, outbox));
        }
        for (OwnedSlice slice : List.copyOf(state.owned().values())) {
            if (review || !slice.hasAuthority(nowMs)) {
                slice.updateAuthority(nowMs);
            }
            renewal.tick(slice, nowMs, outbox);
            giveUpWhenFenced(slice, nowMs, outbox);
        }
    }

    /** Restarts all waits, at the start and after a pause of this process in which it received no messages. */
    private void restartWaits(long nowMs) {
        state.restartTableWait(nowMs);
        for (SliceId slice : Slices.local(state)) {
            watch(slice).ownerAnnouncedMs(nowMs);
            watch(slice).interrupt();
        }
    }

    /**
     * Discards the rows that were read, and gives up the slices once the validity of a control lease has passed.
     *
     * <p>The rows may change in the meantime, because other hosts do not wait for a host without a registration.
     */
    private void actWithoutRegistration(long nowMs, Outbox outbox) {
        watches.values().forEach(SliceWatch::discardRow);
        if (nowMs - registeredMs > validityMs()) {
            List.copyOf(state.owned().values()).forEach(slice -> giveUp(slice, outbox));
        }
    }

    private void readRows(long nowMs, Outbox outbox) {
        if (readInFlight || nowMs < nextReadMs) {
            return;
        }
        nextReadMs = nowMs + READ_INTERVAL_HEARTBEATS * state.config().heartbeatMs();
        List<SliceId> wanted = new ArrayList<>();
        for (SliceId slice : Slices.local(state)) {
            OwnedSlice own = state.owned().get(slice);
            if (own == null || !own.holdsRow()) {
                wanted.add(slice);
            }
        }
        if (wanted.isEmpty()) {
            return;
        }
        readInFlight = true;
        List<String> keys = wanted.stream().map(SliceRow::key).toList();
        outbox.call(nowMs, new TableRequest.Read(keys), reply -> {
            readInFlight = false;
            if (reply instanceof TableReply.Rows rows) {
                applyRows(wanted, rows.rows(), nowMs, outbox);
            } else {
                wanted.forEach(slice -> watch(slice).interrupt());
            }
        });
    }

    private void applyRows(List<SliceId> wanted, List<Row> rows, long sentMs, Outbox outbox) {
        Map<String, Row> byKey = new HashMap<>();
        rows.forEach(row -> byKey.put(row.key(), row));
        for (SliceId slice : wanted) {
            Row row = byKey.get(SliceRow.key(slice));
            Optional<SliceRow> value = row == null ? Optional.empty() : RowCodec.decode(row, SliceRow.class);
            watch(slice)
                    .recordRead(
                            value,
                            row == null ? 0 : row.version(),
                            sentMs,
                            state.clock().nowMs());
            value.ifPresent(current -> compareWithOwn(slice, current, row.version(), outbox));
        }
    }

    /** Completes a takeover whose answer was lost, records a takeover without the table in the row, or gives up. */
    private void compareWithOwn(SliceId slice, SliceRow row, long version, Outbox outbox) {
        SliceWatch watch = watch(slice);
        OwnedSlice own = state.owned().get(slice);
        if (own == null) {
            if (row.isOwnedBy(state.config()) && row.epoch() == watch.pendingEpoch()) {
                beginOwnership(slice, Fence.of(row.epoch(), 0), row, version, watch.pendingSentMs());
            } else {
                acknowledgeMembers(slice, row, outbox);
            }
            return;
        }
        if (own.holdsRow()) {
            return;
        }
        boolean remainsOwner = row.epoch() == own.fence().epoch()
                && own.hasAuthority(state.clock().nowMs());
        if (remainsOwner) {
            renewal.writeTakeover(own, row, version, state.clock().nowMs(), outbox);
        } else {
            giveUp(own, outbox);
        }
    }

    private void acknowledgeMembers(SliceId slice, SliceRow row, Outbox outbox) {
        boolean changing = row.memberSets().size() > 1;
        if (!changing || row.isReleased()) {
            return;
        }
        state.entryHosts().values().stream()
                .filter(entry -> entry.id().equals(row.owner()))
                .forEach(entry -> outbox.send(
                        HostId.of(entry.id()), entry.address(), new PeerMessage.MembersKnown(slice, row.generation())));
    }

    private void considerTakeover(SliceId slice, long nowMs, Outbox outbox) {
        SliceWatch watch = watch(slice);
        boolean owned = state.owned().containsKey(slice);
        if (state.ownerOf(slice, nowMs).isPresent()) {
            watch.ownerAnnouncedMs(nowMs);
        }
        if (owned || watch.callInFlight() || !watch.rowKnown() || nowMs < watch.notBeforeMs()) {
            return;
        }
        if (state.workers().isEmpty()) {
            return;
        }
        long delayMs = OwnerCandidates.rank(state, slice, nowMs)
                * READ_INTERVAL_HEARTBEATS
                * state.config().heartbeatMs();
        if (state.tableAnswers()) {
            takeOverInTable(slice, watch, delayMs, nowMs, outbox);
        } else {
            takeOverAtWorkers(slice, watch, delayMs, nowMs);
        }
    }

    private void takeOverInTable(SliceId slice, SliceWatch watch, long delayMs, long nowMs, Outbox outbox) {
        boolean free = watch.row().map(SliceRow::isReleased).orElse(true);
        long waitMs = delayMs + (free ? 0 : validityMs());
        if (watch.interrupted() || nowMs - watch.unchangedSinceMs() < waitMs) {
            return;
        }
        List<List<WorkerId>> members = List.of(List.copyOf(Slices.workers(state, slice)));
        if (watch.row().isEmpty() && members.getFirst().isEmpty()) {
            return;
        }
        SliceRow before =
                watch.row().orElseGet(() -> new SliceRow("", 0, watch.highest().epoch(), 0, 0, members));
        SliceRow taken = before.takenBy(state.config().host(), state.config().incarnation());
        String key = SliceRow.key(slice);
        Write write = new Write(key, Optional.of(RowCodec.encode(taken, SliceRow.class)));
        watch.takeoverSent(taken.epoch(), nowMs);
        List<Check> checks = List.of(new Check(key, watch.version()));
        outbox.call(nowMs, new TableRequest.Commit(checks, List.of(write)), reply -> {
            watch.takeoverAnswered();
            nextReadMs = state.clock().nowMs();
            boolean wanted = !state.stopping() && !state.owned().containsKey(slice);
            if (reply instanceof TableReply.Committed committed && wanted) {
                beginOwnership(slice, Fence.of(taken.epoch(), 0), taken, committed.version(), nowMs);
            }
        });
    }

    private void takeOverAtWorkers(SliceId slice, SliceWatch watch, long delayMs, long nowMs) {
        boolean tableUnavailable = nowMs - state.lastTableReplyMs() >= validityMs();
        boolean ownerTimedOut = nowMs - watch.ownerAnnouncedMs() >= validityMs() + delayMs;
        if (!tableUnavailable || !ownerTimedOut || watch.row().isEmpty()) {
            return;
        }
        OwnedSlice taken = beginOwnership(
                slice, watch.highest().next(), watch.row().get(), watch.version(), watch.writtenAfterMs());
        taken.row(watch.row().get(), watch.version(), false);
    }

    private OwnedSlice beginOwnership(SliceId slice, Fence fence, SliceRow row, long version, long contactMs) {
        OwnedSlice taken = OwnedSlice.of(slice, fence, engines.apply(slice, fence));
        taken.row(row, version, true);
        taken.tableContactMs(contactMs);
        taken.takenOverMs(state.clock().nowMs());
        watch(slice).raiseHighest(fence);
        state.owned().put(slice, taken);
        LOG.info("slice {} taken over with fence {}", slice, fence);
        return taken;
    }

    private void observeFence(SliceId slice, Fence fence, Outbox outbox) {
        SliceWatch watch = watches.get(slice);
        if (watch == null) {
            return;
        }
        watch.raiseHighest(fence);
        OwnedSlice own = state.owned().get(slice);
        if (own == null || fence.compareTo(own.fence()) <= 0) {
            return;
        }
        boolean newerEpoch = fence.epoch() > own.row().epoch();
        if (newerEpoch || !own.hasAuthority(state.clock().nowMs())) {
            giveUp(own, outbox);
        }
    }

    private void giveUpWhenFenced(OwnedSlice slice, long nowMs, Outbox outbox) {
        if (slice.hasAuthority(nowMs)) {
            return;
        }
        boolean fenced = slice.fencedBy().compareTo(slice.fence()) >= 0;
        long authorityTimeoutMs = AUTHORITY_TIMEOUT_LEASES * state.config().controlLeaseMs();
        boolean withoutTable = !slice.holdsRow() || nowMs - state.lastTableReplyMs() >= validityMs();
        boolean authorityTimedOut = withoutTable && nowMs > slice.lastAuthorityMs() + authorityTimeoutMs;
        if (fenced || authorityTimedOut) {
            giveUp(slice, outbox);
        }
    }

    private void giveUp(OwnedSlice slice, Outbox outbox) {
        if (!state.owned().remove(slice.id(), slice)) {
            return;
        }
        long nowMs = state.clock().nowMs();
        LOG.info("slice {} given up with fence {}", slice.id(), slice.fence());
        SliceWatch watch = watch(slice.id());
        watch.retain(slice.row(), slice.rowVersion());
        watch.restart(nowMs);
        watch.raiseHighest(slice.fencedBy());
        watch.ownerAnnouncedMs(nowMs);
        long pauseMs = READ_INTERVAL_HEARTBEATS * state.config().heartbeatMs();
        watch.notBeforeMs(nowMs + pauseMs * (1 + OwnerCandidates.rank(state, slice.id(), nowMs)));
        release.releaseWorkers(slice, nowMs, outbox);
    }

    private SliceWatch watch(SliceId slice) {
        return watches.computeIfAbsent(slice, ignored -> new SliceWatch());
    }

    private long validityMs() {
        return state.config().controlLeaseMs() + state.config().clockMarginMs();
    }
}
