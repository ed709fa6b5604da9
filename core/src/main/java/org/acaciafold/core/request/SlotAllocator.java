package org.acaciafold.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;

/**
 * Allocates the slots of workers to live requests, in weighted fair order of the workspaces.
 *
 * <p>It does no I/O and reads no clock; the same inputs and ticks give the same decisions. Only {@link #release}
 * returns a slot. If it is never called, the slot is freed after the caller's deadline, once a report of the worker
 * shows that the slot is not in use.
 */
public final class SlotAllocator {
    private static final int DEFAULT_QUEUE_LIMIT = 256;
    private static final long MIN_RETRY_MS = 100;

    private final SplittableRandom random;
    private final long lateArrivalMs;
    private final Map<WorkerId, WorkerSlots> workers = new TreeMap<>();
    private final Map<ServiceKey, ServiceReplicas> services = new TreeMap<>();
    private final Map<WorkspaceId, Integer> queueLimits = new TreeMap<>();
    private final FairQueue<ServiceKey, SlotRequest> queue = FairQueue.empty();
    private final PriorityQueue<SlotRequest> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(SlotRequest::deadlineMs));
    private final Set<Long> waiting = new HashSet<>();
    private final Map<ServiceKey, Integer> waitingByService = new HashMap<>();
    private final Map<Long, ReservedSlot> reservedSlots = new HashMap<>();
    private final PriorityQueue<ReservedSlot> byExpiry =
            new PriorityQueue<>(Comparator.comparingLong(ReservedSlot::expiresMs));
    private final List<SlotDecision> refused = new ArrayList<>();
    private long lastSlot;

    private SlotAllocator(long seed, long lateArrivalMs) {
        this.random = new SplittableRandom(seed);
        this.lateArrivalMs = lateArrivalMs;
    }

    /**
     * Creates an allocator without workers.
     *
     * @param seed the seed of random choices
     * @param lateArrivalMs how long after a grant a worker may still accept the request, in milliseconds
     * @return the allocator
     */
    public static SlotAllocator of(long seed, long lateArrivalMs) {
        return new SlotAllocator(seed, lateArrivalMs);
    }

    /**
     * Requests a slot; a later {@link #tick} returns the decision.
     *
     * @param request the request
     * @param nowMs the time in milliseconds
     */
    public void request(SlotRequest request, long nowMs) {
        int limit = queueLimits.getOrDefault(request.caller(), DEFAULT_QUEUE_LIMIT);
        long waitMs = expectedWaitMs(request);
        if (queue.size(request.caller()) >= limit) {
            refuse(request, SlotDecision.Reason.QUEUE_FULL, waitMs);
        } else if (nowMs + waitMs > request.deadlineMs()) {
            refuse(request, SlotDecision.Reason.TOO_BUSY, waitMs);
        } else {
            queue.add(request.caller(), request.service(), request);
            byDeadline.add(request);
            waiting.add(request.call());
            waitingByService.merge(request.service(), 1, Integer::sum);
        }
    }

    /**
     * Returns whether a service has a replica on one of the workers.
     *
     * @param service the service
     * @return true if it has a replica
     */
    public boolean hasReplica(ServiceKey service) {
        return services.containsKey(service);
    }

    /**
     * Returns the load of a service on all workers.
     *
     * @param service the service
     * @return its load
     */
    public ServiceLoad load(ServiceKey service) {
        ServiceReplicas replicas = services.getOrDefault(service, new ServiceReplicas());
        return new ServiceLoad(service, replicas.size(), replicas.freeSlots(), waitingFor(service));
    }

    /**
     * Returns the load of the services on some of the workers.
     *
     * @param workerIds the workers
     * @return the loads, counted over these workers
     */
    public List<ServiceLoad> loads(Collection<WorkerId> workerIds) {
        Map<ServiceKey, ServiceLoad> loads = new TreeMap<>();
        for (WorkerId id : workerIds) {
            WorkerSlots worker = workers.get(id);
            if (worker == null) {
                continue;
            }
            for (ServiceKey service : worker.services()) {
                ServiceLoad before = loads.get(service);
                int replicas = before == null ? 0 : before.replicas();
                int free = before == null ? 0 : before.freeSlots();
                loads.put(service, new ServiceLoad(service, replicas + 1, free + worker.free(), waitingFor(service)));
            }
        }
        return List.copyOf(loads.values());
    }

    /**
     * Releases a slot.
     *
     * @param slot the number of the slot; unknown ones are ignored
     * @param outcome how its use ended
     * @param nowMs the time in milliseconds
     */
    public void release(long slot, SlotOutcome outcome, long nowMs) {
        ReservedSlot released = reservedSlots.remove(slot);
        if (released == null) {
            return;
        }
        if (outcome.ended()) {
            released.worker().release();
        } else {
            released.worker().abandon(released.grantedMs() + lateArrivalMs);
        }
        record(released, outcome, nowMs);
    }

    /**
     * Removes a worker that this process no longer controls.
     *
     * @param worker the worker
     */
    public void removeWorker(WorkerId worker) {
        WorkerSlots removed = workers.remove(worker);
        if (removed != null) {
            removed.services().forEach(service -> removeReplica(service, removed));
        }
    }

    /**
     * Sets the weight and the queue limit of a workspace.
     *
     * @param workspace the workspace
     * @param weight its weight among the workspaces that wait, above 0
     * @param queueLimit the maximum number of live requests that may wait
     */
    public void setWorkspaceLimits(WorkspaceId workspace, double weight, int queueLimit) {
        queue.weight(workspace, weight);
        queueLimits.put(workspace, queueLimit);
    }

    /**
     * Grants free slots to waiting requests and refuses requests whose deadline has passed.
     *
     * @param nowMs the time in milliseconds
     * @return the decisions in the order in which they were made, those refused by {@link #request} first
     */
    public List<SlotDecision> tick(long nowMs) {
        abandonExpired(nowMs);
        List<SlotDecision> decisions = new ArrayList<>(refused);
        refused.clear();
        refuseExpired(nowMs, decisions);
        grant(nowMs, decisions);
        return decisions;
    }

    /**
     * Records a report of a worker.
     *
     * @param report the report
     */
    public void recordWorkerReport(SlotWorker report) {
        WorkerSlots known = workers.get(report.id());
        Set<ServiceKey> before = known == null ? Set.of() : known.services();
        WorkerSlots worker = known == null ? WorkerSlots.of(report) : known;
        worker.update(report);
        workers.put(report.id(), worker);
        Set<ServiceKey> removedServices = new HashSet<>(before);
        removedServices.removeAll(report.services());
        removedServices.forEach(service -> removeReplica(service, worker));
        for (ServiceKey service : report.services()) {
            if (!before.contains(service)) {
                services.computeIfAbsent(service, key -> new ServiceReplicas()).add(worker);
            }
        }
    }

    private void abandonExpired(long nowMs) {
        while (!byExpiry.isEmpty() && byExpiry.peek().expiresMs() <= nowMs) {
            ReservedSlot expired = byExpiry.poll();
            if (reservedSlots.remove(expired.slot()) != null) {
                expired.worker().abandon(expired.expiresMs());
                record(expired, new SlotOutcome(false, false, nowMs - expired.grantedMs()), nowMs);
            }
        }
    }

    private long expectedWaitMs(SlotRequest request) {
        ServiceReplicas replicas = services.get(request.service());
        if (replicas == null || replicas.slots() == 0 || replicas.freeSlots() > 0) {
            return 0;
        }
        double requestsAhead = (queue.size(request.caller()) + 1) / queue.share(request.caller());
        return Math.round(requestsAhead * replicas.meanLatencyMs() / replicas.slots());
    }

    private void refuseExpired(long nowMs, List<SlotDecision> decisions) {
        while (!byDeadline.isEmpty() && byDeadline.peek().deadlineMs() <= nowMs) {
            SlotRequest expired = byDeadline.poll();
            if (removeWaiting(expired)) {
                queue.remove(expired.caller(), expired.service(), expired);
                long retryMs = Math.max(MIN_RETRY_MS, expectedWaitMs(expired));
                decisions.add(new SlotDecision.Refused(expired.call(), SlotDecision.Reason.DEADLINE, retryMs));
            }
        }
    }

    private void grant(long nowMs, List<SlotDecision> decisions) {
        Map<ServiceKey, ServiceReplicas.Replica> chosen = new HashMap<>();
        Set<ServiceKey> full = new HashSet<>();
        Optional<SlotRequest> next = queue.take(service -> hasFreeSlot(service, nowMs, chosen, full));
        while (next.isPresent()) {
            SlotRequest request = next.get();
            decisions.add(grant(request, chosen.get(request.service()), nowMs));
            chosen.clear();
            next = queue.take(service -> hasFreeSlot(service, nowMs, chosen, full));
        }
    }

    private SlotDecision grant(SlotRequest request, ServiceReplicas.Replica replica, long nowMs) {
        removeWaiting(request);
        replica.worker().reserve();
        replica.health().requestSent();
        long expiresMs = Math.max(request.deadlineMs(), nowMs + lateArrivalMs);
        ReservedSlot slot = new ReservedSlot(++lastSlot, replica.worker(), request.service(), nowMs, expiresMs);
        reservedSlots.put(slot.slot(), slot);
        byExpiry.add(slot);
        return new SlotDecision.Granted(
                request.call(), slot.slot(), replica.worker().id(), request.service());
    }

    private boolean hasFreeSlot(
            ServiceKey service, long nowMs, Map<ServiceKey, ServiceReplicas.Replica> chosen, Set<ServiceKey> full) {
        if (full.contains(service) || !services.containsKey(service)) {
            return false;
        }
        Optional<ServiceReplicas.Replica> replica = services.get(service).choose(random, nowMs);
        replica.ifPresentOrElse(found -> chosen.put(service, found), () -> full.add(service));
        return replica.isPresent();
    }

    private void record(ReservedSlot used, SlotOutcome outcome, long nowMs) {
        ServiceReplicas replicas = services.get(used.service());
        if (replicas != null) {
            replicas.record(used.worker(), outcome, nowMs);
        }
    }

    private void refuse(SlotRequest request, SlotDecision.Reason reason, long waitMs) {
        refused.add(new SlotDecision.Refused(request.call(), reason, Math.max(MIN_RETRY_MS, waitMs)));
    }

    private void removeReplica(ServiceKey service, WorkerSlots worker) {
        ServiceReplicas replicas = services.get(service);
        if (replicas != null) {
            replicas.remove(worker);
            if (replicas.isEmpty()) {
                services.remove(service);
            }
        }
    }

    private boolean removeWaiting(SlotRequest request) {
        boolean wasWaiting = waiting.remove(request.call());
        if (wasWaiting) {
            waitingByService.computeIfPresent(request.service(), (service, count) -> count == 1 ? null : count - 1);
        }
        return wasWaiting;
    }

    private int waitingFor(ServiceKey service) {
        return waitingByService.getOrDefault(service, 0);
    }

    private record ReservedSlot(long slot, WorkerSlots worker, ServiceKey service, long grantedMs, long expiresMs) {}
}
