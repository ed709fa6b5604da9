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
    /** The jobs that are unschedulable because the allotment is too small. */
    final Set<JobRow> aboveAllotment = new LinkedHashSet<>();

    WorkspaceQuota quota = NO_QUOTA;
    Resources used = Resources.empty();
    /** The resources of its tasks for which a stop was requested. */
    Resources stopping = Resources.empty();

    Resources waitingDemand = Resources.empty();
    /** Its fair share, as a fraction of the slice, among all workspaces with usage or demand. */
    double fairShare = 1;
    /** Its weighted dominant share at the start of the tick. */
    double shareAtTickStart;
    /** Whether it used its fair share or more at the start of the tick. */
    boolean aboveShareAtTickStart;

    WorkspaceRow(WorkspaceId id) {
        this.id = id;
        for (JobClass jobClass : JobClass.values()) {
            queues[jobClass.ordinal()] = new ClassQueue(this, jobClass);
        }
    }

    /** Returns whether a further demand fits into the allotment. */
    boolean allows(Resources demand) {
        return used.plus(demand).fitsIn(quota.allotment());
    }

    ClassQueue queue(JobClass jobClass) {
        return queues[jobClass.ordinal()];
    }

    /** Returns whether the workspace would exceed its fair share with a further demand. */
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
