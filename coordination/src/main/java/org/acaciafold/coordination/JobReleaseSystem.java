package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Check;

/**
 * Moves the jobs of owned slices to open failure domains while operators have taken this one out of service, and moves
 * waiting jobs of an overloaded slice to slices with free capacity.
 *
 * <p>A service moves at once, so that its new replicas start while the old ones drain; other jobs move when none of
 * their tasks is running here.
 */
final class JobReleaseSystem implements HostSystem {
    private static final long REVIEW_INTERVAL_MS = 200;
    private static final long REBALANCE_INTERVAL_MS = 1_000;
    private static final int REBALANCE_CANDIDATES = 100;

    private final HostState state;
    private final GroupCommit commits;
    private final SubmitSystem notices;
    private long nextReviewMs = Times.NEVER_MS;
    private long nextRebalanceMs = Times.NEVER_MS;

    private JobReleaseSystem(HostState state, GroupCommit commits, SubmitSystem notices) {
        this.state = state;
        this.commits = commits;
        this.notices = notices;
    }

    static JobReleaseSystem of(HostState state, GroupCommit commits, SubmitSystem notices) {
        return new JobReleaseSystem(state, commits, notices);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // handles no events; tick does all the work on the tables of other systems
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (nowMs < nextReviewMs || !state.tableAnswers() || state.stopping()) {
            return;
        }
        nextReviewMs = nowMs + REVIEW_INTERVAL_MS;
        boolean takenOut = state.settings().takenOut(state.config().domain());
        boolean rebalances = !takenOut && nowMs >= nextRebalanceMs;
        if (rebalances) {
            nextRebalanceMs = nowMs + REBALANCE_INTERVAL_MS;
        }
        for (OwnedSlice slice : state.owned().values()) {
            boolean known = slice.scanned() && slice.reconciled() && slice.hasAuthority(nowMs);
            if (known && takenOut) {
                slice.jobs().values().forEach(job -> release(slice, job, nowMs));
            } else if (known && rebalances) {
                rebalance(slice, nowMs);
            }
        }
    }

    /** Moves one waiting job of an overloaded slice to a slice with free capacity. */
    private void rebalance(OwnedSlice slice, long nowMs) {
        List<SliceSummary> withFreeCapacity = HomeSelector.withFreeCapacity(state, slice.summary(), nowMs);
        if (withFreeCapacity.isEmpty()) {
            return;
        }
        slice.jobs().values().stream()
                .filter(job -> movable(job) && !slice.hasTaskOf(job.id()))
                .limit(REBALANCE_CANDIDATES)
                .filter(job -> target(job, withFreeCapacity).isPresent())
                .findFirst()
                .ifPresent(job -> move(slice, job, target(job, withFreeCapacity).orElseThrow()));
    }

    private static Optional<SliceId> target(HomedJob job, List<SliceSummary> withFreeCapacity) {
        Resources demand = job.row().spec().demand();
        return withFreeCapacity.stream()
                .filter(summary -> demand.fitsIn(summary.largest()))
                .map(SliceSummary::slice)
                .findFirst();
    }

    private void release(OwnedSlice slice, HomedJob job, long nowMs) {
        JobSpec spec = job.row().spec();
        boolean service = spec.kind() instanceof JobKind.Service && !spec.exclusive();
        boolean runs = !service && slice.hasTaskOf(job.id());
        if (movable(job) && !runs) {
            HomeSelector.chooseMoveTarget(state, spec, slice.id(), nowMs).ifPresent(target -> move(slice, job, target));
        }
    }

    /** Returns whether a job has no unrecorded changes, is not moving, and is neither ending nor ended. */
    private static boolean movable(HomedJob job) {
        JobRow row = job.row();
        boolean unrecorded =
                job.dirty() || job.writing() || !job.unrecordedEnds().isEmpty();
        boolean ends = row.cancelled() || row.problem().isPresent() || row.phase() != JobPhase.WAITING;
        return !job.moving() && !unrecorded && !ends;
    }

    private void move(OwnedSlice slice, HomedJob job, SliceId target) {
        job.moving(true);
        Check unchanged = new Check(JobRow.key(slice.id(), job.id()), job.version());
        commits.add(JobMove.of(job.row(), slice.id(), target, List.of(unchanged), new MoveListener(slice, job)));
    }

    private final class MoveListener implements JobMove.Listener {
        private final OwnedSlice slice;
        private final HomedJob job;

        private MoveListener(OwnedSlice slice, HomedJob job) {
            this.slice = slice;
            this.job = job;
        }

        @Override
        public void retry(JobMove move) {
            commits.add(move);
        }

        @Override
        public void failed(JobId id) {
            job.moving(false);
            slice.requestScan();
        }

        @Override
        public void moved(JobId id, SliceId to) {
            slice.jobs().remove(id, job);
            slice.placement().removeJob(id);
            notices.notifyOwner(to, id);
        }

        @Override
        public boolean obsolete() {
            return state.owned().get(slice.id()) != slice;
        }
    }
}
