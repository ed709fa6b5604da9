package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;

/**
 * Takes over jobs from slices of other failure domains whose owners no longer renew their rows.
 *
 * <p>While the table answered, the row of such a slice must have stayed unchanged for longer than its owner may run
 * exclusive tasks without the table and those tasks may run without their owner. The move checks that the row is still
 * unchanged, so that an owner that renews it later finds all moves when it reads its jobs again.
 */
final class RehomeSystem implements HostSystem {
    private static final long WATCH_INTERVAL_MS = 2_000;
    private static final int SLICE_ROWS = 1_000;
    private static final int JOB_ROWS = 200;

    /** The number of clock margins that are added to the durations of the leases. */
    private static final int LEASE_MARGINS = 4;

    private final HostState state;
    private final GroupCommit commits;
    private final SubmitSystem notices;
    private final Map<SliceId, SliceWatch> watches = new HashMap<>();
    private final Map<SliceId, String> cursors = new HashMap<>();
    private final Set<JobId> moving = new HashSet<>();
    private boolean watching;
    private long nextWatchMs = Times.NEVER_MS;

    private RehomeSystem(HostState state, GroupCommit commits, SubmitSystem notices) {
        this.state = state;
        this.commits = commits;
        this.notices = notices;
    }

    static RehomeSystem of(HostState state, GroupCommit commits, SubmitSystem notices) {
        return new RehomeSystem(state, commits, notices);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // uses only rows of the table
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (watching || nowMs < nextWatchMs || state.owned().isEmpty() || state.stopping()) {
            return;
        }
        watching = true;
        nextWatchMs = nowMs + WATCH_INTERVAL_MS;
        outbox.call(nowMs, new TableRequest.Scan(SliceRow.prefix(), "", SLICE_ROWS), reply -> {
            watching = false;
            if (reply instanceof TableReply.Rows rows) {
                rows.rows().forEach(row -> watch(row, nowMs, outbox));
            } else {
                watches.values().forEach(SliceWatch::interrupt);
            }
        });
    }

    private void watch(Row row, long sentMs, Outbox outbox) {
        SliceId slice = SliceRow.slice(row.key());
        if (Slices.domain(slice).equals(state.config().domain())) {
            return;
        }
        long nowMs = state.clock().nowMs();
        SliceWatch watch = watches.computeIfAbsent(slice, ignored -> new SliceWatch());
        watch.recordRead(RowCodec.decode(row, SliceRow.class), row.version(), sentMs, nowMs);
        if (nowMs - watch.unchangedSinceMs() > unchangedBoundMs()) {
            readJobs(slice, watch, nowMs, outbox);
        } else {
            cursors.remove(slice);
        }
    }

    private void readJobs(SliceId slice, SliceWatch watch, long nowMs, Outbox outbox) {
        String after = cursors.getOrDefault(slice, "");
        outbox.call(nowMs, new TableRequest.Scan(JobRow.prefix(slice), after, JOB_ROWS), reply -> {
            if (reply instanceof TableReply.Rows rows) {
                rows.rows().forEach(row -> moveIfOwned(slice, watch, row));
                boolean more = rows.rows().size() == JOB_ROWS;
                cursors.put(slice, more ? rows.rows().getLast().key() : "");
            }
        });
    }

    /** Moves a job if this host owns the target slice. */
    private void moveIfOwned(SliceId slice, SliceWatch watch, Row found) {
        Optional<JobRow> row = JobRow.read(found);
        long nowMs = state.clock().nowMs();
        if (row.isEmpty() || row.get().movedTo().isPresent() || moving.contains(JobRow.job(found.key()))) {
            return;
        }
        long unchangedMs = nowMs - watch.unchangedSinceMs();
        if (unchangedMs <= unchangedBoundMs(row.get())) {
            return;
        }
        Optional<SliceId> target =
                HomeSelector.chooseMoveTarget(state, row.get().spec(), slice, nowMs);
        OwnedSlice own = target.map(state.owned()::get).orElse(null);
        if (own == null || !own.hasAuthority(nowMs)) {
            return;
        }
        moving.add(row.get().spec().id());
        List<Check> unchanged =
                List.of(new Check(SliceRow.key(slice), watch.version()), new Check(found.key(), found.version()));
        commits.add(JobMove.of(row.get(), slice, own.id(), unchanged, new MoveListener(own)));
    }

    /** Returns how long the row of the owner must have been unchanged before a job is moved, in milliseconds. */
    private long unchangedBoundMs(JobRow row) {
        if (!row.spec().exclusive()) {
            return unchangedBoundMs();
        }
        return unchangedBoundMs()
                + ExclusiveTaskBound.rehomeAfterMs(state, row.spec().workspace());
    }

    /** Returns how long the row must have been unchanged before non-exclusive jobs are moved, in milliseconds. */
    private long unchangedBoundMs() {
        HostConfig config = state.config();
        return config.controlLeaseMs() + config.taskLeaseMs() + LEASE_MARGINS * config.clockMarginMs();
    }

    private final class MoveListener implements JobMove.Listener {
        private final OwnedSlice slice;

        private MoveListener(OwnedSlice slice) {
            this.slice = slice;
        }

        @Override
        public void retry(JobMove move) {
            commits.add(move);
        }

        @Override
        public void failed(JobId job) {
            moving.remove(job);
        }

        @Override
        public void moved(JobId job, SliceId to) {
            moving.remove(job);
            notices.notifyOwner(to, job);
        }

        @Override
        public boolean obsolete() {
            boolean gone = state.owned().get(slice.id()) != slice;
            if (gone) {
                moving.clear();
            }
            return gone;
        }
    }
}
