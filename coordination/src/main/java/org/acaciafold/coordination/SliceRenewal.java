package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;

/**
 * Renews the rows of owned slices and changes their members.
 *
 * <p>A change of the members first adds the new set to the row beside the former one. The former set is dropped when
 * every entry host of the failure domain has acknowledged that it has read the row; see {@link MemberChange}.
 */
final class SliceRenewal {
    private static final int INTERVAL_HEARTBEATS = 2;

    private final HostState state;
    private final BiConsumer<OwnedSlice, Outbox> giveUp;
    private final Map<SliceId, Progress> progress = new HashMap<>();
    private final Map<SliceId, MemberChange> changes = new HashMap<>();

    private SliceRenewal(HostState state, BiConsumer<OwnedSlice, Outbox> giveUp) {
        this.state = state;
        this.giveUp = giveUp;
    }

    static SliceRenewal of(HostState state, BiConsumer<OwnedSlice, Outbox> giveUp) {
        return new SliceRenewal(state, giveUp);
    }

    /** Records that a host has read a generation of the members of a slice. */
    void acknowledged(HostId host, SliceId slice, long generation) {
        memberChange(slice).acknowledged(host, generation);
    }

    /** Writes this host as the owner into the row of a slice that it took over without the table. */
    void writeTakeover(OwnedSlice slice, SliceRow row, long version, long nowMs, Outbox outbox) {
        SliceRow taken = row.takenBy(state.config().host(), state.config().incarnation());
        write(slice, taken, version, nowMs, outbox);
    }

    /** Renews the row when the renewal is due. */
    void tick(OwnedSlice slice, long nowMs, Outbox outbox) {
        if (slice.holdsRow() && nowMs >= progress(slice).nextMs) {
            SliceRow next = withChangedMembers(slice, nowMs, outbox).renewed();
            write(slice, next, slice.rowVersion(), nowMs, outbox);
        }
    }

    private void write(OwnedSlice slice, SliceRow row, long version, long nowMs, Outbox outbox) {
        Progress own = progress(slice);
        if (own.inFlight) {
            return;
        }
        own.inFlight = true;
        own.nextMs = nowMs + INTERVAL_HEARTBEATS * state.config().heartbeatMs();
        String key = SliceRow.key(slice.id());
        Write write = new Write(key, Optional.of(RowCodec.encode(row, SliceRow.class)));
        TableRequest commit = new TableRequest.Commit(List.of(new Check(key, version)), List.of(write));
        outbox.call(nowMs, commit, reply -> {
            own.inFlight = false;
            if (state.owned().get(slice.id()) == slice) {
                answered(slice, row, nowMs, reply, outbox);
            }
        });
    }

    private void answered(OwnedSlice slice, SliceRow written, long sentMs, TableReply reply, Outbox outbox) {
        switch (reply) {
            case TableReply.Committed committed -> {
                slice.row(written, committed.version(), true);
                renewed(slice, sentMs);
            }
            case TableReply.Conflict conflict -> conflicted(slice, written, conflict.current(), outbox);
            case TableReply.Rows ignored -> throw new IllegalStateException("unexpected reply to a commit: Rows");
            case TableReply.Unavailable ignored -> {
                // the row may have been written; the next renewal detects it by its version check
            }
        }
    }

    /** Records the contact; after a gap the jobs are read again, as another failure domain may have moved some. */
    private void renewed(OwnedSlice slice, long sentMs) {
        if (sentMs - slice.tableContactMs() > state.config().controlLeaseMs()) {
            slice.requestScan();
        }
        slice.tableContactMs(sentMs);
        slice.resume(sentMs);
    }

    private void conflicted(OwnedSlice slice, SliceRow written, List<Row> current, Outbox outbox) {
        Optional<SliceRow> found = current.stream()
                .filter(row -> row.key().equals(SliceRow.key(slice.id())))
                .findFirst()
                .flatMap(row -> RowCodec.decode(row, SliceRow.class));
        boolean ownedHere = found.isPresent()
                && found.get().isOwnedBy(state.config())
                && found.get().epoch() == written.epoch();
        if (ownedHere) {
            slice.row(found.get(), current.getFirst().version(), true);
            progress(slice).nextMs = state.clock().nowMs();
        } else if (slice.holdsRow()) {
            giveUp.accept(slice, outbox);
        }
    }

    private SliceRow withChangedMembers(OwnedSlice slice, long nowMs, Outbox outbox) {
        SliceRow row = slice.row();
        if (row.memberSets().size() > 1) {
            boolean droppable = memberChange(slice.id()).mayDropFormerMembers(row, nowMs, outbox);
            return droppable ? row.withoutFormerMembers() : row;
        }
        Set<WorkerId> members = new TreeSet<>(row.members());
        Set<WorkerId> registered = Slices.workers(state, slice.id());
        members.removeIf(worker -> !registered.contains(worker) && hasExpired(slice, worker, nowMs));
        members.addAll(registered);
        return members.equals(new TreeSet<>(row.members())) ? row : row.withMembers(new ArrayList<>(members));
    }

    /** Returns whether all tasks that the worker ran under this or former owners have certainly ended. */
    private boolean hasExpired(OwnedSlice slice, WorkerId worker, long nowMs) {
        HostConfig config = state.config();
        WorkerLink link = slice.links().get(worker);
        if (link == null || link.leaseSequence() == 0) {
            return slice.formerOwnersExpired(nowMs, config);
        }
        return nowMs > link.leaseEndedMs() + config.taskLeaseMs() + config.clockMarginMs();
    }

    private MemberChange memberChange(SliceId slice) {
        return changes.computeIfAbsent(slice, ignored -> MemberChange.of(state));
    }

    private Progress progress(OwnedSlice slice) {
        return progress.compute(
                slice.id(), (id, present) -> present != null && present.slice == slice ? present : new Progress(slice));
    }

    private static final class Progress {
        private final OwnedSlice slice;
        private long nextMs;
        private boolean inFlight;

        private Progress(OwnedSlice slice) {
            this.slice = slice;
        }
    }
}
