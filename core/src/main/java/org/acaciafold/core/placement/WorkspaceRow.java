package org.acaciafold.core.placement;

import java.util.LinkedHashSet;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;

/** A workspace in the table of workspaces. */
final class WorkspaceRow {
    private static final WorkspaceQuota NO_QUOTA = new WorkspaceQuota(
            1,
            Resources.empty(),
            new ServicePolicy.Spread(1),
            new BatchPolicy.SubmissionOrder(),
            new GangPolicy.WhenFree());

    final WorkspaceId id;
    final ClassQueue[] queues = new ClassQueue[JobClass.values().length];
    /** The jobs that cannot run because the allotment is too small. */
    final Set<JobRow> aboveAllotment = new LinkedHashSet<>();

    WorkspaceQuota quota = NO_QUOTA;
    Resources used = Resources.empty();
    /** What its tasks hold that were asked to stop. */
    Resources stopping = Resources.empty();

    Resources waitingDemand = Resources.empty();
    /** The part of the slice that is its share while all workspaces with work want theirs. */
    double fairShare = 1;
    /** Its weighted share at the begin of the tick. */
    double shareAtTickStart;
    /** Whether it held more than its share at the begin of the tick. */
    boolean aboveShareAtTickStart;

    WorkspaceRow(WorkspaceId id) {
        this.id = id;
        for (JobClass jobClass : JobClass.values()) {
            queues[jobClass.ordinal()] = new ClassQueue(this, jobClass);
        }
    }

    /** Tells whether the allotment leaves room. */
    boolean allows(Resources demand) {
        return used.plus(demand).fitsIn(quota.allotment());
    }

    ClassQueue queue(JobClass jobClass) {
        return queues[jobClass.ordinal()];
    }

    /** Tells whether the workspace would hold more than its share with a further demand. */
    boolean aboveShare(Resources demand, Resources capacity) {
        return used.minus(stopping).plus(demand).dominantShare(capacity) > fairShare;
    }

    boolean active() {
        return !used.equals(Resources.empty()) || !waitingDemand.equals(Resources.empty());
    }

    /** Returns the dominant share of the workspace over its weight. */
    double weightedShare(Resources capacity) {
        return used.dominantShare(capacity) / quota.weight();
    }
}
