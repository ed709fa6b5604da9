package org.acaciafold.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;
import org.acaciafold.core.port.WorkerView;
import org.acaciafold.core.request.ServiceKey;
import org.acaciafold.core.request.ServiceLoad;
import org.acaciafold.core.request.SlotAllocator;
import org.acaciafold.core.request.SlotDecision;
import org.acaciafold.core.request.SlotOutcome;
import org.acaciafold.core.request.SlotRequest;
import org.acaciafold.core.request.SlotWorker;

/**
 * Assigns the slots of owned workers to live requests, and redirects a request to a peer if no owned worker has a
 * replica, or if all local slots are in use and the peer has spare ones.
 *
 * <p>A request for a service that recently had replicas waits for a short time until replicas are known again, for
 * example after a takeover.
 */
final class SlotSystem implements HostSystem {
    private static final long SUMMARY_INTERVAL_MS = 100;

    /** The time after the last known replica of a service during which requests for it may wait. */
    private static final long RECENTLY_KNOWN_MS = 10_000;

    /** The longest wait of a request for a replica to become known. */
    private static final long MAX_REPLICA_WAIT_MS = 3_000;

    private static final long RETRY_AFTER_MS = 1_000;
    private static final int MAX_WAITING_FOR_REPLICA = 1_024;

    private final HostState state;
    private final SlotAllocator allocator;
    private final SlotRouting routing;
    private final Map<WorkerId, AllocatorWorker> allocatorWorkers = new TreeMap<>();
    private final Map<ServiceKey, Long> lastKnownMs = new TreeMap<>();
    private final List<WaitingRequest> arrived = new ArrayList<>();
    private final Deque<WaitingRequest> waitingForReplica = new ArrayDeque<>();
    private long settingsVersion = -1;
    private long nextSummaryMs = Long.MIN_VALUE;

    private SlotSystem(HostState state, SlotAllocator allocator) {
        this.state = state;
        this.allocator = allocator;
        this.routing = SlotRouting.of(state);
    }

    static SlotSystem of(HostState state) {
        long lateArrivalMs = state.config().controlLeaseMs() + state.config().clockMarginMs();
        return new SlotSystem(state, SlotAllocator.of(state.config().seed(), lateArrivalMs));
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (!(event instanceof Event.ClientCalled called)) {
            return;
        }
        long nowMs = state.clock().nowMs();
        switch (called.body()) {
            case ClientCall.AcquireSlot acquire ->
                arrived.add(new WaitingRequest(called.call(), acquire, nowMs, nowMs + acquire.waitMs()));
            case ClientCall.ReleaseSlot release -> {
                SlotOutcome outcome = new SlotOutcome(release.succeeded(), release.ended(), release.tookMs());
                allocator.release(release.slot(), outcome, nowMs);
                outbox.answer(called.call(), new ClientReply.Released());
            }
            default -> {
                // handled by other systems
            }
        }
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        updateWorkspaces();
        updateWorkers(nowMs);
        retryWaiting(nowMs, outbox);
        arrived.forEach(request -> acquire(request, nowMs, outbox));
        arrived.clear();
        for (SlotDecision decision : allocator.tick(nowMs)) {
            answer(decision, outbox);
        }
        if (nowMs >= nextSummaryMs) {
            nextSummaryMs = nowMs + SUMMARY_INTERVAL_MS;
            summarize(nowMs);
        }
    }

    private void acquire(WaitingRequest request, long nowMs, Outbox outbox) {
        if (!assignOrRedirect(request, nowMs, outbox)) {
            ServiceKey service = serviceOf(request);
            Long knownMs = lastKnownMs.get(service);
            boolean recent = knownMs != null && nowMs - knownMs < RECENTLY_KNOWN_MS;
            if (recent && waitingForReplica.size() < MAX_WAITING_FOR_REPLICA) {
                waitingForReplica.add(request);
            } else {
                outbox.answer(request.call(), new ClientReply.Failed(noReplica(request)));
            }
        }
    }

    private void answer(SlotDecision decision, Outbox outbox) {
        switch (decision) {
            case SlotDecision.Granted granted -> {
                AllocatorWorker worker = allocatorWorkers.get(granted.worker());
                WorkerLink link = worker.link();
                outbox.answer(
                        granted.call(),
                        new ClientReply.SlotGranted(
                                granted.slot(),
                                granted.worker(),
                                link.requestAddress(),
                                worker.fence(),
                                link.leaseSequence(),
                                granted.service().workspace()));
            }
            case SlotDecision.Refused refused -> {
                Failure failure =
                        switch (refused.reason()) {
                            case QUEUE_FULL -> failure("queue-full", "too many requests of the workspace wait");
                            case TOO_BUSY -> failure("too-busy", "the expected wait is longer than the deadline");
                            case DEADLINE -> failure("deadline", "no slot became free before the deadline");
                        };
                outbox.answer(refused.call(), new ClientReply.Failed(failure.withRetryAfterMs(refused.retryAfterMs())));
            }
        }
    }

    private Failure failure(String code, String message) {
        return Failure.notRun(Step.ADMISSION, state.config().host().value(), code, message);
    }

    private Failure noReplica(WaitingRequest request) {
        ClientCall.AcquireSlot body = request.body();
        ServiceKey service = serviceOf(request);
        String message = "no replica of " + body.service() + " of workspace " + service.workspace() + " runs now";
        String hint = routing.existsInOtherWorkspace(body.service(), service.workspace())
                ? "; another workspace has one of this name"
                : "";
        return failure("no-replica", message + hint).withRetryAfterMs(RETRY_AFTER_MS);
    }

    /** Queues a request on this host or redirects it to a peer; returns false if no host has a replica. */
    private boolean assignOrRedirect(WaitingRequest request, long nowMs, Outbox outbox) {
        ServiceKey service = serviceOf(request);
        boolean local = allocator.hasReplica(service);
        Optional<SlotRouting.Peer> peer = request.body().relayed() ? Optional.empty() : routing.choosePeer(service);
        boolean localFull = local
                && allocator.load(service).freeSlots()
                        <= allocator.load(service).waiting();
        boolean redirect =
                peer.isPresent() && (!local || localFull && peer.get().spareSlots() > 0);
        if (redirect) {
            lastKnownMs.put(service, nowMs);
            outbox.answer(
                    request.call(), new ClientReply.SlotElsewhere(peer.get().owner()));
            return true;
        }
        if (local) {
            allocator.request(
                    new SlotRequest(request.call(), request.body().workspace(), service, request.deadlineMs()), nowMs);
        }
        return local;
    }

    private void retryWaiting(long nowMs, Outbox outbox) {
        Iterator<WaitingRequest> iterator = waitingForReplica.iterator();
        while (iterator.hasNext()) {
            WaitingRequest request = iterator.next();
            if (assignOrRedirect(request, nowMs, outbox)) {
                iterator.remove();
            } else if (nowMs >= Math.min(request.deadlineMs(), request.sinceMs() + MAX_REPLICA_WAIT_MS)) {
                iterator.remove();
                outbox.answer(request.call(), new ClientReply.Failed(noReplica(request)));
            }
        }
    }

    private ServiceKey serviceOf(WaitingRequest request) {
        return routing.resolve(request.body().workspace(), request.body().service());
    }

    private void summarize(long nowMs) {
        for (OwnedSlice slice : state.owned().values()) {
            slice.services(allocator.loads(slice.links().keySet()).stream()
                    .map(SlotSystem::summary)
                    .toList());
            slice.services()
                    .forEach(service -> lastKnownMs.put(new ServiceKey(service.workspace(), service.service()), nowMs));
        }
        lastKnownMs.values().removeIf(knownMs -> nowMs - knownMs > RECENTLY_KNOWN_MS);
    }

    private void updateWorkspaces() {
        if (settingsVersion == state.settings().version()) {
            return;
        }
        settingsVersion = state.settings().version();
        state.settings()
                .workspaces()
                .forEach((workspace, workspaceSettings) -> allocator.setWorkspaceLimits(
                        workspace, workspaceSettings.weight(), workspaceSettings.queueLimit()));
    }

    private void updateWorkers(long nowMs) {
        Set<WorkerId> present = new HashSet<>();
        for (OwnedSlice slice : state.owned().values()) {
            for (WorkerLink link : slice.links().values()) {
                if (link.view().isPresent()) {
                    present.add(link.worker());
                    updateWorker(slice, link, link.view().get(), nowMs);
                }
            }
        }
        allocatorWorkers.keySet().removeIf(worker -> {
            boolean gone = !present.contains(worker);
            if (gone) {
                allocator.removeWorker(worker);
            }
            return gone;
        });
    }

    private void updateWorker(OwnedSlice slice, WorkerLink link, WorkerView view, long nowMs) {
        boolean usable = link.leaseUntilMs() > nowMs && !view.leaving();
        AllocatorWorker now = new AllocatorWorker(link, slice.fence(), view, link.leaseUntilMs(), usable);
        AllocatorWorker before = allocatorWorkers.put(link.worker(), now);
        if (now.equals(before)) {
            return;
        }
        if (before != null && before.link() != link) {
            allocator.removeWorker(link.worker());
        }
        long sampledAfterMs = link.leaseUntilMs() - state.config().controlLeaseMs();
        allocator.recordWorkerReport(new SlotWorker(
                link.worker(), view.slots(), view.slotsInUse(), sampledAfterMs, usable, servicesOf(view)));
    }

    private static Set<ServiceKey> servicesOf(WorkerView view) {
        Set<ServiceKey> services = new HashSet<>();
        for (TaskView task : view.tasks()) {
            if (task.phase() == TaskPhase.RUNNING && task.spec().kind() instanceof JobKind.Service) {
                services.add(new ServiceKey(task.spec().workspace(), task.spec().name()));
            }
        }
        return services;
    }

    private static ServiceSummary summary(ServiceLoad load) {
        return new ServiceSummary(
                load.service().name(), load.service().workspace(), load.replicas(), load.freeSlots(), load.waiting());
    }

    /** A request that waits for a replica, with the start of its wait. */
    private record WaitingRequest(long call, ClientCall.AcquireSlot body, long sinceMs, long deadlineMs) {}

    /** The data of a worker that was last passed to the allocator. */
    private record AllocatorWorker(WorkerLink link, Fence fence, WorkerView view, long leaseUntilMs, boolean usable) {
        @Override
        public boolean equals(Object other) {
            return other instanceof AllocatorWorker that
                    && link == that.link
                    && view == that.view
                    && leaseUntilMs == that.leaseUntilMs
                    && usable == that.usable;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(leaseUntilMs);
        }
    }
}
