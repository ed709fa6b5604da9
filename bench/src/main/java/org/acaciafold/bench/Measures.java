package org.acaciafold.bench;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.PlacementSummary;

/** What is measured in one replay. */
final class Measures {
    private static final long SLOWEST_MS = 24 * 3_600_000L;
    private static final double MILLIS_PER_CORE_SECOND = 1e6;

    /** The classes whose waits are kept apart. */
    enum WaitClass {
        URGENT,
        SERVICE,
        GANG,
        DEADLINE,
        BATCH,
        LOW
    }

    private final Workload workload;
    private final ShareDistance distance;
    private final Map<WaitClass, Histogram> waits = new EnumMap<>(WaitClass.class);
    private double packedTime;
    private double waitedTime;
    private double movedWork;
    private double allWork;
    private long costNanos;
    private long starts;
    private long stops;
    private long unschedulable;
    private long wanted;

    Measures(Workload workload) {
        this.workload = workload;
        this.distance = new ShareDistance(workload.weights());
        for (WaitClass waitClass : WaitClass.values()) {
            waits.put(waitClass, new Histogram(SLOWEST_MS, 3));
        }
    }

    /** Counts what a job wants from now on. */
    void arrived(Workload.Arrival arrival) {
        if (!arrival.hopeless()) {
            JobSpec spec = arrival.spec();
            distance.want(spec.workspace(), spec.demand().times(spec.kind().tasks()));
        }
    }

    /** Counts what a cancelled job wants no more. */
    void cancelled(Workload.Arrival arrival, int ended) {
        if (!arrival.hopeless()) {
            JobSpec spec = arrival.spec();
            distance.want(
                    spec.workspace(), spec.demand().times(ended - spec.kind().tasks()));
        }
    }

    /** Counts what a task wants no more. */
    void succeeded(JobSpec spec, boolean cancelledBefore) {
        if (!cancelledBefore) {
            distance.want(spec.workspace(), spec.demand().times(-1));
        }
    }

    static WaitClass waitClass(JobSpec spec) {
        if (spec.priority() != Priority.NORMAL) {
            return spec.priority() == Priority.URGENT ? WaitClass.URGENT : WaitClass.LOW;
        }
        return switch (spec.kind()) {
            case JobKind.Service service -> WaitClass.SERVICE;
            case JobKind.Gang gang -> WaitClass.GANG;
            case JobKind.Batch batch -> batch.finishWithinMs().isPresent() ? WaitClass.DEADLINE : WaitClass.BATCH;
        };
    }

    void cost(long nanos) {
        costNanos += nanos;
    }

    void finished(JobSpec spec, long waitedMs) {
        waits.get(waitClass(spec)).recordValue(Math.min(SLOWEST_MS, Math.max(0, waitedMs)));
    }

    /** Takes the state of all domains. */
    void sample(long nowMs, List<PlacementEngine> engines, boolean[] open) {
        Resources capacity = Resources.empty();
        Resources reserved = Resources.empty();
        int waiting = 0;
        for (int i = 0; i < engines.size(); i++) {
            PlacementSummary summary = engines.get(i).summary();
            capacity = open[i] ? capacity.plus(summary.capacity()) : capacity;
            reserved = reserved.plus(summary.reserved());
            waiting += summary.waiting();
        }
        if (waiting > 0) {
            packedTime += Math.min(1, reserved.dominantShare(capacity));
            waitedTime++;
        }
        distance.sample(engines, capacity);
    }

    void started() {
        starts++;
    }

    void stopped() {
        stops++;
    }

    void unschedulable() {
        unschedulable++;
    }

    void wanted() {
        wanted++;
    }

    /** Counts useful work. */
    void work(JobSpec spec, long startMs, long endMs) {
        if (spec.kind() instanceof JobKind.Service) {
            return;
        }
        double cores = spec.demand().cpuMillis() / MILLIS_PER_CORE_SECOND;
        movedWork += cores * workload.move().overlap(startMs, endMs);
        allWork += cores * (endMs - startMs);
    }

    double costMicrosPerStart() {
        return costNanos / 1_000.0 / Math.max(1, starts);
    }

    double movedCoreSeconds() {
        return movedWork;
    }

    double coreSeconds() {
        return allWork;
    }

    double packing() {
        return waitedTime == 0 ? 1 : packedTime / waitedTime;
    }

    double shareDistance() {
        return distance.mean();
    }

    double worstShareDistance() {
        return distance.worst();
    }

    long starts() {
        return starts;
    }

    long stops() {
        return stops;
    }

    Histogram waits(WaitClass waitClass) {
        return waits.get(waitClass);
    }
}
