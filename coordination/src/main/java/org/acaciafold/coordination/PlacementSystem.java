package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.Decision;
import org.acaciafold.core.placement.WorkerState;
import org.acaciafold.core.placement.WorkspaceQuota;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.settings.WorkspaceSettings;

/** Runs the placement of owned slices and executes its decisions; each start is checked again before it is sent. */
final class PlacementSystem implements HostSystem {
    private static final String ALREADY_PREFIX = "already-";

    private final HostState state;
    private final Map<SliceId, AppliedConfiguration> appliedBySlice = new HashMap<>();

    private PlacementSystem(HostState state) {
        this.state = state;
    }

    static PlacementSystem of(HostState state) {
        return new PlacementSystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // uses only the tables of other systems
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        if (state.stopping()) {
            return;
        }
        for (OwnedSlice slice : state.owned().values()) {
            updateQuotas(slice);
            if (!slice.hasAuthority(nowMs)) {
                continue;
            }
            slice.missingAllotments().clear();
            for (Decision decision : slice.placement().tick(nowMs)) {
                execute(slice, decision, nowMs, outbox);
            }
        }
    }

    private void updateQuotas(OwnedSlice slice) {
        AppliedConfiguration applied = appliedBySlice.compute(
                slice.id(),
                (id, present) -> present != null && present.slice == slice ? present : new AppliedConfiguration(slice));
        boolean open = !state.settings().takenOut(state.config().domain());
        if (applied.open != open) {
            slice.placement().setOpen(open);
            applied.open = open;
        }
        for (WorkspaceSettings workspace : state.settings().workspaces().values()) {
            WorkspaceQuota quota = quota(slice, applied, workspace);
            if (!quota.equals(applied.quotas.put(workspace.workspace(), quota))) {
                slice.placement().setQuota(workspace.workspace(), quota);
            }
        }
    }

    private static WorkspaceQuota quota(OwnedSlice slice, AppliedConfiguration applied, WorkspaceSettings workspace) {
        Resources held = slice.allotments().getOrDefault(workspace.workspace(), Resources.empty());
        Resources allotment = slice.reconciled() ? held : held.min(maxUsage(slice, applied, workspace.workspace()));
        return new WorkspaceQuota(
                workspace.weight(),
                allotment,
                workspace.policies().service(),
                workspace.policies().batch(),
                workspace.policies().gang());
    }

    /**
     * Returns the highest observed usage of a workspace since the takeover.
     *
     * <p>Until all members have answered, the usage by unknown tasks is bounded by the allotment minus this amount, so
     * that placement may use only this amount.
     */
    private static Resources maxUsage(OwnedSlice slice, AppliedConfiguration applied, WorkspaceId workspace) {
        return applied.maxUsage.merge(workspace, slice.placement().usage(workspace), Resources::max);
    }

    private void execute(OwnedSlice slice, Decision decision, long nowMs, Outbox outbox) {
        switch (decision) {
            case Decision.Start start -> start(slice, start, nowMs, outbox);
            case Decision.StopTask stop -> {
                PlacedTask task = slice.tasks().get(new AttemptId(stop.task(), stop.attempt()));
                if (task != null) {
                    slice.stop(task, stop.mode());
                }
            }
            case Decision.JobUnschedulable unschedulable -> recordProblem(slice, unschedulable);
            case Decision.RequestAllotment request ->
                slice.missingAllotments().put(request.workspace(), request.missing());
        }
    }

    private void start(OwnedSlice slice, Decision.Start start, long nowMs, Outbox outbox) {
        if (!mayStart(slice, start, nowMs)) {
            slice.placement().refused(start.task(), start.attempt(), nowMs);
            return;
        }
        WorkerLink link = slice.links().get(start.worker());
        PlacedTask task = PlacedTask.ofStart(start.task(), start.worker(), start.attempt(), start.spec());
        slice.place(task);
        WorkerCommand command = new WorkerCommand.Start(
                slice.fence(),
                link.leaseSequence(),
                start.task(),
                start.attempt(),
                start.spec(),
                state.config().taskLeaseMs());
        long leaseEndedMs = link.leaseEndedMs();
        outbox.call(nowMs, link.worker(), link.address(), command, reply -> answered(slice, task, leaseEndedMs, reply));
    }

    private boolean mayStart(OwnedSlice slice, Decision.Start start, long nowMs) {
        WorkerLink link = slice.links().get(start.worker());
        HomedJob job = slice.jobs().get(start.task().job());
        boolean worker = link != null
                && link.hasLease(nowMs)
                && link.state().filter(WorkerState.READY::equals).isPresent();
        boolean wanted =
                job != null && job.placed() && !job.moving() && !job.row().cancelled();
        boolean exclusive = !start.spec().exclusive()
                || (slice.scanned()
                        && slice.reconciled()
                        && ExclusiveTaskBound.mayRunExclusive(
                                state, slice, start.spec().workspace(), nowMs));
        boolean open =
                state.registered() && !state.settings().takenOut(state.config().domain()) && !state.stopping();
        return open && worker && wanted && exclusive && slice.hasAuthority(nowMs);
    }

    private void answered(OwnedSlice slice, PlacedTask task, long leaseEndedMs, WorkerReply reply) {
        long nowMs = state.clock().nowMs();
        boolean known = slice.tasks().get(task.id()) == task;
        if (!known || state.owned().get(slice.id()) != slice) {
            return;
        }
        switch (reply) {
            case WorkerReply.Done ignored -> {
                task.confirm(nowMs);
                slice.placement().started(task.task(), task.attempt(), nowMs);
            }
            case WorkerReply.Refused refused -> {
                if (refused.code().startsWith(ALREADY_PREFIX)) {
                    task.unresolved(nowMs);
                } else {
                    removeRefused(slice, task, nowMs);
                }
            }
            case WorkerReply.Fenced ignored -> removeRefused(slice, task, nowMs);
            case WorkerReply.Lost ignored -> task.unresolved(leaseEndedMs);
            case WorkerReply.Claimed ignored -> throw new IllegalStateException("unexpected reply to a start: Claimed");
        }
    }

    private static void removeRefused(OwnedSlice slice, PlacedTask task, long nowMs) {
        slice.remove(task);
        slice.placement().refused(task.task(), task.attempt(), nowMs);
    }

    /** Records that a job can never run; before all workers of the slice are known, the job is placed again later. */
    private static void recordProblem(OwnedSlice slice, Decision.JobUnschedulable unschedulable) {
        HomedJob job = slice.jobs().get(unschedulable.job());
        if (job == null || job.row().problem().isPresent()) {
            return;
        }
        if (!slice.reconciled()) {
            slice.placement().removeJob(job.id());
            job.placed(false);
            return;
        }
        Resources most = unschedulable.largest();
        String largest = "; the largest task that fits has " + most.cpuMillis() + " cpu-millis, " + most.memoryMib()
                + " MiB and " + most.accelerators() + " accelerators";
        job.change(job.row().withProblem(unschedulable.reason() + largest));
    }

    private static final class AppliedConfiguration {
        private final OwnedSlice slice;
        private final Map<WorkspaceId, WorkspaceQuota> quotas = new HashMap<>();
        private final Map<WorkspaceId, Resources> maxUsage = new HashMap<>();
        private boolean open = true;

        private AppliedConfiguration(OwnedSlice slice) {
            this.slice = slice;
        }
    }
}
