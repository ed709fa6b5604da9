package org.acaciafold.core.request;

import java.util.PriorityQueue;
import java.util.Set;

import org.acaciafold.core.model.WorkerId;

/**
 * The slots of one worker: those held here, and those that may still be in use by requests nobody here waits for.
 *
 * <p>Requests of earlier owners and requests given up on are such; they are forgotten only when a report of the worker,
 * taken after they could last have arrived, shows fewer requests in use.
 */
final class WorkerSlots {
    private final WorkerId id;
    private final PriorityQueue<Long> abandoned = new PriorityQueue<>();
    private Set<ServiceKey> services = Set.of();
    private int slots;
    private int held;
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

    /** Gives a held slot up while its request may still arrive until the given time and may still run. */
    void abandon(long arrivesUntilMs) {
        held--;
        abandoned.add(arrivesUntilMs);
    }

    int free() {
        return usable ? Math.max(0, slots - inUse()) : 0;
    }

    void hold() {
        held++;
    }

    WorkerId id() {
        return id;
    }

    int inUse() {
        return held + abandoned.size();
    }

    double load() {
        return (double) inUse() / Math.max(1, slots);
    }

    void release() {
        held--;
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
        int provable = (int) abandoned.stream()
                .filter(untilMs -> untilMs <= report.sampledAfterMs())
                .count();
        for (int excess = provable - report.slotsInUse(); excess > 0; excess--) {
            abandoned.poll();
        }
    }
}
