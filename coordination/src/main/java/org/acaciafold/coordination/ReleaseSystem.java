package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Check;

/**
 * Moves the jobs of owned slices to open failure domains while operators have taken this one out of service.
 *
 * <p>A service moves at once, so that its new replicas start while the old ones drain; other jobs move when nothing of
 * them runs here.
 */
final class ReleaseSystem implements HostSystem {
    private static final long REVIEW_INTERVAL_MS = 200;

    private final HostState state;
    private final GroupCommit commits;
    private final SubmitSystem notices;
    private long nextReviewMs = Times.NEVER_MS;

    private ReleaseSystem(HostState state, GroupCommit commits, SubmitSystem notices) {
        this.state = state;
        this.commits = commits;
        this.notices = notices;
    }

    static ReleaseSystem of(HostState state, GroupCommit commits, SubmitSystem notices) {
        return new ReleaseSystem(state, commits, notices);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // works on the tables of other systems only
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        boolean takenOut = state.settings().takenOut(state.config().domain());
        if (!takenOut || nowMs < nextReviewMs || !state.tableAnswers()) {
            return;
        }
        nextReviewMs = nowMs + REVIEW_INTERVAL_MS;
        for (OwnedSlice slice : state.owned().values()) {
            if (slice.scanned() && slice.settled() && slice.hasAuthority(nowMs)) {
                slice.jobs().values().forEach(job -> release(slice, job, nowMs));
            }
        }
    }

    private void release(OwnedSlice slice, HomedJob job, long nowMs) {
        JobRow row = job.row();
        boolean unrecorded = job.dirty() || job.writing() || !job.unrecorded().isEmpty();
        boolean ends = row.cancelled() || row.problem().isPresent() || row.phase() != JobPhase.WAITING;
        boolean service =
                row.spec().kind() instanceof JobKind.Service && !row.spec().exclusive();
        boolean runs = !service && slice.runsAny(job.id());
        if (job.moving() || unrecorded || ends || runs) {
            return;
        }
        Optional<SliceId> target = HomeChoice.spread(state, row.spec(), slice.id(), nowMs);
        if (target.isEmpty()) {
            return;
        }
        job.moving(true);
        Check unchanged = new Check(JobRow.key(slice.id(), job.id()), job.version());
        commits.add(JobMove.of(row, slice.id(), target.get(), List.of(unchanged), new Released(slice, job)));
    }

    private final class Released implements JobMove.Listener {
        private final OwnedSlice slice;
        private final HomedJob job;

        private Released(OwnedSlice slice, HomedJob job) {
            this.slice = slice;
            this.job = job;
        }

        @Override
        public void again(JobMove move) {
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
