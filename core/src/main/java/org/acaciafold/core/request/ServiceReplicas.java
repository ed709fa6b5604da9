package org.acaciafold.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** The replicas of one service, and the selection of one for each request. */
final class ServiceReplicas {
    private static final int MAX_DRAWS = 6;
    private static final double SMOOTHING = 0.1;

    private final List<Replica> replicas = new ArrayList<>();
    private double meanLatencyMs;

    void add(WorkerSlots worker) {
        replicas.add(new Replica(worker, new ReplicaHealth()));
    }

    /** Returns the less loaded of two randomly drawn usable replicas, or the first usable one if none was drawn. */
    Optional<Replica> choose(SplittableRandom random, long nowMs) {
        boolean allEjected =
                replicas.stream().allMatch(replica -> replica.health().ejected());
        Replica best = null;
        int found = 0;
        for (int draw = 0; draw < MAX_DRAWS && found < 2 && !replicas.isEmpty(); draw++) {
            Replica drawn = replicas.get(random.nextInt(replicas.size()));
            if (usable(drawn, allEjected, nowMs)) {
                found++;
                best = lessLoaded(best, drawn);
            }
        }
        return best != null ? Optional.of(best) : firstUsable(allEjected, nowMs);
    }

    int freeSlots() {
        return replicas.stream().mapToInt(replica -> replica.worker().free()).sum();
    }

    boolean isEmpty() {
        return replicas.isEmpty();
    }

    double meanLatencyMs() {
        return meanLatencyMs;
    }

    void record(WorkerSlots worker, SlotOutcome outcome, long nowMs) {
        if (outcome.succeeded()) {
            meanLatencyMs = meanLatencyMs == 0
                    ? outcome.tookMs()
                    : meanLatencyMs + SMOOTHING * (outcome.tookMs() - meanLatencyMs);
        }
        for (Replica replica : replicas) {
            if (replica.worker() == worker) {
                replica.health().record(outcome, nowMs);
                ejectIfUnhealthy(replica, nowMs);
            }
        }
    }

    void remove(WorkerSlots worker) {
        replicas.removeIf(replica -> replica.worker() == worker);
    }

    int size() {
        return replicas.size();
    }

    int slots() {
        return replicas.stream().mapToInt(replica -> replica.worker().slots()).sum();
    }

    List<Replica> replicas() {
        return replicas;
    }

    private void ejectIfUnhealthy(Replica replica, long nowMs) {
        long ejected = replicas.stream().filter(any -> any.health().ejected()).count();
        boolean halfRemains = (ejected + 1) * 2 <= replicas.size();
        if (!replica.health().ejected() && halfRemains && replica.health().shouldEject(medianPeerLatencyMs(replica))) {
            replica.health().eject(nowMs);
        }
    }

    private Optional<Replica> firstUsable(boolean allEjected, long nowMs) {
        return replicas.stream()
                .filter(replica -> usable(replica, allEjected, nowMs))
                .findFirst();
    }

    /** Returns the median latency of the other replicas, 0 while none of them has samples. */
    private double medianPeerLatencyMs(Replica except) {
        double[] latencies = replicas.stream()
                .filter(replica -> replica != except && replica.health().samples() > 0)
                .mapToDouble(replica -> replica.health().latencyMs())
                .sorted()
                .toArray();
        return latencies.length == 0 ? 0 : latencies[latencies.length / 2];
    }

    private static Replica lessLoaded(Replica first, Replica second) {
        boolean keep = first != null && first.worker().load() <= second.worker().load();
        return keep ? first : second;
    }

    private static boolean usable(Replica replica, boolean allEjected, long nowMs) {
        return replica.worker().free() > 0 && (allEjected || replica.health().available(nowMs));
    }

    /**
     * A replica of the service.
     *
     * @param worker the slots of its worker
     * @param health the health of the replica
     */
    record Replica(WorkerSlots worker, ReplicaHealth health) {}
}
