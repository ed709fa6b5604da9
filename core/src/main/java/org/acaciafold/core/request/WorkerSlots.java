package org.acaciafold.core.request;

import java.util.PriorityQueue;
import java.util.Set;

import org.acaciafold.core.model.WorkerId;

/**
 * The slots of one worker: the reserved ones, and the abandoned ones, which may still be in use by requests that this
 * process does not track.
 *
 * <p>Requests of earlier owners, and requests whose slot expired or was released before their end was certain, occupy
 * abandoned slots. An abandoned slot is freed only when a report of the worker, sampled after its request could last
 * have arrived, shows fewer requests in use.
 */
final class WorkerSlots {
    private final WorkerId id;
    private final PriorityQueue<Long> abandoned = new PriorityQueue<>();
    private Set<ServiceKey> services = Set.of();
    private int slots;
    private int reserved;
    private boolean usable;

    private WorkerSlots(WorkerId id) {
        this.id = id;
    }

    static WorkerSlots of(SlotWorker first) {
        WorkerSlots worker = new WorkerSlots(first.id());
        for (int index = 0; index < first.slotsInUse(); index++) {
            worker.abandoned.add(Long.MIN_VALUE);
        }
        worker.update(first);
        return worker;
    }

    /** Abandons a reserved slot whose request may still run, and may still arrive until the given time. */
    void abandon(long arrivesUntilMs) {
        reserved--;
        abandoned.add(arrivesUntilMs);
    }

    int free() {
        return usable ? Math.max(0, slots - inUse()) : 0;
    }

    void reserve() {
        reserved++;
    }

    WorkerId id() {
        return id;
    }

    int inUse() {
        return reserved + abandoned.size();
    }

    double load() {
        return (double) inUse() / Math.max(1, slots);
    }

    void release() {
        reserved--;
    }

    Set<ServiceKey> services() {
        return services;
    }

    int slots() {
        return slots;
    }

    void update(SlotWorker report) {
        slots = report.slots();
        usable = report.usable();
        services = report.services();
        int freeable = (int) abandoned.stream()
                .filter(untilMs -> untilMs <= report.sampledAfterMs())
                .count();
        for (int excess = freeable - report.slotsInUse(); excess > 0; excess--) {
            abandoned.poll();
        }
    }
}
