package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.placement.WorkerSpec;
import org.acaciafold.core.placement.WorkerState;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.core.port.WorkerView;

/** Renews the control leases of the workers of owned slices and updates placement with the reported tasks. */
final class WorkerSystem implements HostSystem {
    private static final long COMPARE_INTERVAL_MS = 100;
    private static final long STOP_REPEAT_MS = 1_000;

    /** Exclusive tasks are checkpointed after this fraction (1/n) of a task lease without authority. */
    private static final int LOST_AUTHORITY_GRACE_DIVISOR = 3;

    private final HostState state;
    private long nextReviewMs = Times.NEVER_MS;
    private long nextCompareMs = Times.NEVER_MS;

    private WorkerSystem(HostState state) {
        this.state = state;
    }

    static WorkerSystem of(HostState state) {
        return new WorkerSystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // all work is done in ticks and in answers of workers
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        boolean review = nowMs >= nextReviewMs;
        if (review) {
            nextReviewMs = nowMs + state.config().heartbeatMs();
        }
        boolean compare = nowMs >= nextCompareMs;
        if (compare) {
            nextCompareMs = nowMs + COMPARE_INTERVAL_MS;
        }
        for (OwnedSlice slice : state.owned().values()) {
            if (review || slice.links().isEmpty()) {
                updateLinks(slice);
            }
            for (WorkerLink link : slice.links().values()) {
                claimWhenDue(slice, link, nowMs, outbox);
                if (compare) {
                    dropExpired(slice, link, nowMs);
                    updatePlacement(slice, link, nowMs);
                }
            }
            if (!slice.reconciled()) {
                updateReconciled(slice, nowMs);
            }
            if (review) {
                stopUnrenewedExclusive(slice, nowMs);
            }
            sendStops(slice, nowMs, outbox);
        }
    }

    private void updateReconciled(OwnedSlice slice, long nowMs) {
        if (slice.everyMemberReported() || slice.formerOwnersExpired(nowMs, state.config())) {
            slice.reconciled(true);
        }
    }

    private void updateLinks(OwnedSlice slice) {
        Set<WorkerId> wanted = new TreeSet<>(slice.row().allMembers());
        wanted.addAll(Slices.workers(state, slice.id()));
        for (WorkerId worker : wanted) {
            HostEntry entry = state.workers().get(worker);
            if (entry == null) {
                continue;
            }
            WorkerLink link = slice.links()
                    .computeIfAbsent(worker, id -> WorkerLink.of(id, entry.address(), entry.callerAddress()));
            link.addresses(entry.address(), entry.callerAddress());
        }
        slice.links().values().removeIf(link -> {
            boolean obsolete = !wanted.contains(link.worker()) && link.tasks().isEmpty();
            if (obsolete && link.state().isPresent()) {
                slice.placement().removeWorker(link.worker());
            }
            return obsolete;
        });
    }

    private void claimWhenDue(OwnedSlice slice, WorkerLink link, long nowMs, Outbox outbox) {
        if (link.claimInFlight() || nowMs < link.nextClaimMs()) {
            return;
        }
        link.claimInFlight(true);
        link.nextClaimMs(nowMs + state.config().heartbeatMs());
        List<Long> acknowledged = new ArrayList<>();
        link.ends().forEach((id, end) -> {
            if (end.durable()) {
                acknowledged.add(id);
            }
        });
        long renewMs = slice.hasAuthority(nowMs) ? state.config().taskLeaseMs() : 0;
        WorkerCommand.Claim claim = new WorkerCommand.Claim(
                slice.fence(),
                state.config().host(),
                state.config().controlLeaseMs(),
                link.leaseSequence(),
                renewMs,
                renewsExclusive(slice, link, nowMs) ? renewMs : 0,
                link.viewVersion(),
                acknowledged);
        outbox.call(
                nowMs,
                link.worker(),
                link.address(),
                claim,
                reply -> answered(slice, link, nowMs, acknowledged, reply, outbox));
    }

    private boolean renewsExclusive(OwnedSlice slice, WorkerLink link, long nowMs) {
        return link.tasks().values().stream()
                .filter(task -> task.spec().exclusive())
                .allMatch(task -> ExclusiveTaskBound.mayRunExclusive(
                        state, slice, task.spec().workspace(), nowMs));
    }

    private void answered(
            OwnedSlice slice, WorkerLink link, long sentMs, List<Long> acknowledged, WorkerReply reply, Outbox outbox) {
        link.claimInFlight(false);
        if (state.owned().get(slice.id()) != slice) {
            if (reply instanceof WorkerReply.Claimed) {
                release(slice, link, outbox);
            }
            return;
        }
        switch (reply) {
            case WorkerReply.Claimed claimed -> {
                link.ends().keySet().removeAll(acknowledged);
                claimed(slice, link, sentMs, claimed);
            }
            case WorkerReply.Fenced fenced -> fenced(slice, link, fenced);
            case WorkerReply.Done ignored -> throw new IllegalStateException("unexpected reply to a claim: Done");
            case WorkerReply.Refused ignored -> {
                // the next claim is the retry
            }
            case WorkerReply.Lost ignored -> {
                // the worker may have granted the lease, but it counts only after an answer
            }
        }
    }

    private void release(OwnedSlice slice, WorkerLink link, Outbox outbox) {
        WorkerCommand command = new WorkerCommand.Release(slice.fence());
        outbox.call(state.clock().nowMs(), link.worker(), link.address(), command, reply -> {
            // without an answer the next owner only has to wait for the lease to expire
        });
    }

    private void fenced(OwnedSlice slice, WorkerLink link, WorkerReply.Fenced fenced) {
        boolean other = !fenced.holder().equals(state.config().host());
        int order = fenced.highest().compareTo(slice.fence());
        if (order > 0 || (order == 0 && other)) {
            slice.fencedBy(fenced.highest());
            link.loseLease();
            slice.updateAuthority(state.clock().nowMs());
        }
    }

    private void claimed(OwnedSlice slice, WorkerLink link, long sentMs, WorkerReply.Claimed claimed) {
        long nowMs = state.clock().nowMs();
        HostConfig config = state.config();
        link.claimed(
                claimed.leaseSequence(),
                sentMs + config.controlLeaseMs() - config.clockMarginMs(),
                nowMs + config.controlLeaseMs() + config.clockMarginMs());
        claimed.view().ifPresent(view -> link.view(view, claimed.version()));
        claimed.ends().forEach(end -> {
            if (!link.ends().containsKey(end.id())) {
                ReportedEnd reported = ReportedEnd.of(end);
                link.ends().put(end.id(), reported);
                slice.unhandledEnds().add(new PendingEnd(link, reported));
            }
        });
        updatePlacement(slice, link, nowMs);
        TaskReportReconciler.of(slice, link).apply(sentMs, nowMs);
    }

    /** Removes the tasks of a worker that has not answered until the leases of all its tasks have expired. */
    private void dropExpired(OwnedSlice slice, WorkerLink link, long nowMs) {
        HostConfig config = state.config();
        if (link.tasks().isEmpty() || nowMs <= link.leaseEndedMs() + config.taskLeaseMs() + config.clockMarginMs()) {
            return;
        }
        for (PlacedTask task : List.copyOf(link.tasks().values())) {
            slice.remove(task);
            slice.placement().lost(task.task(), task.attempt());
        }
    }

    private void updatePlacement(OwnedSlice slice, WorkerLink link, long nowMs) {
        if (link.view().isEmpty()) {
            return;
        }
        WorkerView view = link.view().get();
        WorkerState now = stateOf(slice, link, view, nowMs);
        boolean changed = link.state().isEmpty()
                || link.state().get() != now
                || !view.capacity().equals(link.placementCapacity());
        if (changed) {
            slice.placement().putWorker(new WorkerSpec(link.worker(), view.rack(), view.capacity()), now);
            link.recordPlacementState(now, view.capacity());
        }
    }

    private WorkerState stateOf(OwnedSlice slice, WorkerLink link, WorkerView view, long nowMs) {
        if (!link.hasLease(nowMs) || !slice.isMemberOfEverySet(link.worker())) {
            return WorkerState.UNREACHABLE;
        }
        HostEntry entry = state.workers().get(link.worker());
        boolean leaving = view.leaving() || (entry != null && entry.leaving());
        return leaving ? WorkerState.LEAVING : WorkerState.READY;
    }

    /** Requests checkpoints of exclusive tasks whose leases are no longer renewed, while the leases are still valid. */
    private void stopUnrenewedExclusive(OwnedSlice slice, long nowMs) {
        long graceMs = state.config().taskLeaseMs() / LOST_AUTHORITY_GRACE_DIVISOR;
        boolean authorityGone = nowMs > slice.lastAuthorityMs() + graceMs;
        for (PlacedTask task : slice.tasks().values()) {
            boolean outOfBound = slice.hasAuthority(nowMs)
                    && !ExclusiveTaskBound.mayRunExclusive(
                            state, slice, task.spec().workspace(), nowMs);
            boolean stops = task.spec().exclusive() && task.stop().isEmpty() && (authorityGone || outOfBound);
            if (stops) {
                slice.stop(task, StopMode.CHECKPOINT);
            }
        }
    }

    private void sendStops(OwnedSlice slice, long nowMs, Outbox outbox) {
        for (PlacedTask task : slice.stops()) {
            WorkerLink link = slice.links().get(task.worker());
            boolean due = nowMs - task.stopSentMs() >= STOP_REPEAT_MS;
            if (due && link.hasLease(nowMs)) {
                task.stopSentMs(nowMs);
                WorkerCommand command = new WorkerCommand.Stop(
                        slice.fence(),
                        link.leaseSequence(),
                        task.task(),
                        task.attempt(),
                        task.stop().orElseThrow());
                outbox.call(nowMs, link.worker(), link.address(), command, reply -> {
                    // the worker reports the end as usual; until then the stop is repeated
                });
            }
        }
    }
}
