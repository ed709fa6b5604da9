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

/** The measurements of one replay. */
final class Measures {
    private static final long MAX_WAIT_MS = 24 * 3_600_000L;
    private static final double MILLIS_PER_CORE_SECOND = 1e6;

    /** The classes of jobs whose waiting times are recorded separately. */
    enum WaitClass {
        URGENT,
        SERVICE,
        GANG,
        DEADLINE,
        BATCH,
        LOW
    }

    private final Workload workload;
    private final ShareShortfall shareShortfall;
    private final Map<WaitClass, Histogram> waits = new EnumMap<>(WaitClass.class);
    private double utilizationSum;
    private double samplesWithWaitingTasks;
    private double drainWork;
    private double totalWork;
    private long engineNanos;
    private long starts;
    private long stops;
    private long unschedulable;
    private long allotmentRequests;

    Measures(Workload workload) {
        this.workload = workload;
        this.shareShortfall = new ShareShortfall(workload.weights());
        for (WaitClass waitClass : WaitClass.values()) {
            waits.put(waitClass, new Histogram(MAX_WAIT_MS, 3));
        }
    }

    /** Adds the demand of a submitted job to its workspace. */
    void arrived(Workload.Arrival arrival) {
        if (!arrival.neverSucceeds()) {
            JobSpec spec = arrival.spec();
            shareShortfall.addDemand(
                    spec.workspace(), spec.demand().times(spec.kind().tasks()));
        }
    }

    /** Removes the demand of the unfinished tasks of a cancelled job from its workspace. */
    void cancelled(Workload.Arrival arrival, int ended) {
        if (!arrival.neverSucceeds()) {
            JobSpec spec = arrival.spec();
            shareShortfall.addDemand(
                    spec.workspace(), spec.demand().times(ended - spec.kind().tasks()));
        }
    }

    /** Removes the demand of a succeeded task from its workspace. */
    void succeeded(JobSpec spec, boolean cancelledBefore) {
        if (!cancelledBefore) {
            shareShortfall.addDemand(spec.workspace(), spec.demand().times(-1));
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

    void addEngineTime(long nanos) {
        engineNanos += nanos;
    }

    void recordWait(JobSpec spec, long waitedMs) {
        waits.get(waitClass(spec)).recordValue(Math.min(MAX_WAIT_MS, Math.max(0, waitedMs)));
    }

    /** Records the utilization and the shares over all domains. */
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
            utilizationSum += Math.min(1, reserved.dominantShare(capacity));
            samplesWithWaitingTasks++;
        }
        shareShortfall.sample(engines, capacity);
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

    void allotmentRequests() {
        allotmentRequests++;
    }

    /** Adds the useful work of a run, except that of services. */
    void addWork(JobSpec spec, long startMs, long endMs) {
        if (spec.kind() instanceof JobKind.Service) {
            return;
        }
        double cores = spec.demand().cpuMillis() / MILLIS_PER_CORE_SECOND;
        drainWork += cores * workload.drainWindow().overlap(startMs, endMs);
        totalWork += cores * (endMs - startMs);
    }

    double costMicrosPerStart() {
        return engineNanos / 1_000.0 / Math.max(1, starts);
    }

    double drainCoreSeconds() {
        return drainWork;
    }

    double coreSeconds() {
        return totalWork;
    }

    double packing() {
        return samplesWithWaitingTasks == 0 ? 1 : utilizationSum / samplesWithWaitingTasks;
    }

    double meanShareShortfall() {
        return shareShortfall.mean();
    }

    double worstShareShortfall() {
        return shareShortfall.worst();
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
