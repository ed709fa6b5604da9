package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.TaskEnd;

/** Manages the jobs of owned slices: reads them, submits them to placement, and records the ends of their tasks. */
final class JobSystem implements HostSystem {
    private static final long REVIEW_INTERVAL_MS = 100;
    private static final long CLEANING_INTERVAL_MS = 1_000;

    private final HostState state;
    private final GroupCommit commits;
    private final Map<SliceId, JobScan> scans = new HashMap<>();
    private long nextReviewMs = Times.NEVER_MS;
    private long nextCleaningMs = Times.NEVER_MS;
    private long stoppingSinceMs = Times.NEVER_MS;

    private JobSystem(HostState state, GroupCommit commits) {
        this.state = state;
        this.commits = commits;
    }

    static JobSystem of(HostState state, GroupCommit commits) {
        return new JobSystem(state, commits);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (!(event instanceof Event.PeerReceived received)) {
            return;
        }
        if (received.message() instanceof PeerMessage.JobHomed homed) {
            readHomedJob(homed.slice(), homed.job(), received.from(), outbox);
        }
    }

    @Override
    public boolean idle() {
        boolean waitExpired = stoppingSinceMs != Times.NEVER_MS
                && state.clock().nowMs() - stoppingSinceMs > 2 * state.config().callTimeoutMs();
        return waitExpired || commits.idle();
    }

    /** Reads a new or changed job of an owned slice. */
    void readHomedJob(SliceId slice, JobId job, HostId from, Outbox outbox) {
        OwnedSlice owned = state.owned().get(slice);
        if (owned == null) {
            return;
        }
        String key = JobRow.key(slice, job);
        outbox.call(state.clock().nowMs(), new TableRequest.Read(List.of(key)), reply -> {
            if (reply instanceof TableReply.Rows rows && state.owned().get(slice) == owned) {
                rows.rows().forEach(row -> scan(owned).applyRow(row));
                acknowledge(slice, job, from, outbox);
            }
        });
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (state.stopping() && stoppingSinceMs == Times.NEVER_MS) {
            stoppingSinceMs = nowMs;
        }
        boolean review = nowMs >= nextReviewMs;
        if (review) {
            nextReviewMs = nowMs + REVIEW_INTERVAL_MS;
        }
        boolean clean = nowMs >= nextCleaningMs;
        if (clean) {
            nextCleaningMs = nowMs + CLEANING_INTERVAL_MS;
        }
        for (OwnedSlice slice : state.owned().values()) {
            scan(slice).tick(nowMs, outbox);
            recordEnds(slice);
            if (review) {
                keepServicesRunning(slice, nowMs);
                reviewJobs(slice, nowMs);
            }
            if (clean) {
                stopTasksOfUnknownJobs(slice);
            }
        }
    }

    private void acknowledge(SliceId slice, JobId job, HostId to, Outbox outbox) {
        HostEntry entry = state.entryHosts().get(to);
        if (entry != null && !to.equals(state.config().host())) {
            outbox.send(to, entry.address(), new PeerMessage.JobKnown(slice, job));
        }
    }

    private JobScan scan(OwnedSlice slice) {
        return scans.compute(
                slice.id(),
                (id, present) -> present != null && present.slice() == slice ? present : JobScan.of(state, slice));
    }

    private void recordEnds(OwnedSlice slice) {
        List<PendingEnd> waiting = new ArrayList<>();
        for (PendingEnd pending : slice.unhandledEnds()) {
            HomedJob job = slice.jobs().get(pending.reported().end().task().job());
            boolean handled = pending.reported().applied() && (job != null || slice.scanned());
            if (!handled) {
                waiting.add(pending);
            } else if (job == null) {
                pending.reported().markDurable();
            } else {
                record(job, pending.reported());
            }
        }
        slice.unhandledEnds().clear();
        slice.unhandledEnds().addAll(waiting);
    }

    private void record(HomedJob job, ReportedEnd reported) {
        TaskEnd end = reported.end();
        boolean service = job.row().spec().kind() instanceof JobKind.Service;
        if (end.reason() == EndReason.SUCCEEDED && !service) {
            job.change(job.row().withSuccess(end.task().index(), end.result()));
            job.unrecordedEnds().add(reported);
        } else if (reported.failed()) {
            job.change(job.row().withFailure(end.task().index()));
            job.unrecordedEnds().add(reported);
        } else {
            reported.markDurable();
        }
    }

    private void reviewJobs(OwnedSlice slice, long nowMs) {
        for (HomedJob job : slice.jobs().values()) {
            if (job.isUpToDate()) {
                continue;
            }
            place(slice, job, nowMs);
            finalPhase(slice, job).ifPresent(phase -> job.change(job.row().withPhase(phase)));
            if (job.dirty() && !job.writing() && !job.moving()) {
                commits.add(JobWrite.of(state, slice, job));
            }
        }
    }

    /**
     * Adds the services that are observed running while the table is unresponsive and their rows are not yet read, so
     * that they continue to run.
     *
     * <p>Other jobs wait, because it is unknown which of their tasks have ended.
     */
    private void keepServicesRunning(OwnedSlice slice, long nowMs) {
        boolean tableUnresponsive =
                nowMs - state.lastTableReplyMs() > state.config().controlLeaseMs();
        if (slice.scanned() || slice.holdsRow() || !tableUnresponsive) {
            return;
        }
        for (PlacedTask task : slice.tasks().values()) {
            JobSpec spec = task.spec();
            boolean service = spec.kind() instanceof JobKind.Service && !spec.exclusive();
            if (service && task.stop().isEmpty()) {
                slice.jobs().computeIfAbsent(spec.id(), id -> HomedJob.of(JobRow.of(spec), 0));
            }
        }
    }

    /** Stops the tasks of jobs that have ended or are homed in another slice. */
    private void stopTasksOfUnknownJobs(OwnedSlice slice) {
        if (!slice.scanned()) {
            return;
        }
        for (PlacedTask task : slice.tasks().values()) {
            boolean unknown = !slice.jobs().containsKey(task.task().job());
            if (unknown && task.stop().isEmpty()) {
                boolean service = task.spec().kind() instanceof JobKind.Service;
                slice.stop(task, service ? StopMode.DRAIN : StopMode.CHECKPOINT);
            }
        }
    }

    /** Submits a job to placement, or withdraws one, such as an exclusive job, that must not start here now. */
    private void place(OwnedSlice slice, HomedJob job, long nowMs) {
        boolean allowed = mayPlace(slice, job, nowMs);
        if (allowed && !job.placed()) {
            slice.placement().submit(job.row().spec(), job.row().endedTasks(), nowMs);
            job.placed(true);
        } else if (!allowed && job.placed() && !slice.hasTaskOf(job.id())) {
            slice.placement().removeJob(job.id());
            job.placed(false);
        }
        boolean mustStop = job.row().cancelled() || job.row().problem().isPresent();
        if (mustStop && job.placed()) {
            slice.placement().cancel(job.id());
        }
    }

    private boolean mayPlace(OwnedSlice slice, HomedJob job, long nowMs) {
        if (job.moving()) {
            return false;
        }
        if (!job.row().spec().exclusive()) {
            return true;
        }
        boolean known = slice.scanned() && slice.reconciled();
        return known
                && ExclusiveTaskBound.mayRunExclusive(
                        state, slice, job.row().spec().workspace(), nowMs);
    }

    private Optional<JobPhase> finalPhase(OwnedSlice slice, HomedJob job) {
        JobRow row = job.row();
        if (row.phase() != JobPhase.WAITING) {
            return Optional.empty();
        }
        boolean service = row.spec().kind() instanceof JobKind.Service;
        boolean allEnded = row.endedTasks().cardinality() == row.spec().kind().tasks();
        if (!service && allEnded) {
            return Optional.of(row.failedCount() > 0 ? JobPhase.FAILED : JobPhase.SUCCEEDED);
        }
        boolean stopped = slice.reconciled() && !slice.hasTaskOf(job.id());
        if (row.cancelled() && stopped) {
            return Optional.of(JobPhase.CANCELLED);
        }
        return row.problem().isPresent() && stopped ? Optional.of(JobPhase.FAILED) : Optional.empty();
    }
}
