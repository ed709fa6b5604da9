package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.acaciafold.core.model.Resources;

/** Stops tasks of workspaces that use more than their allotment after the allotment was lowered. */
final class AllotmentEnforcementSystem {
    private static final Comparator<AttemptRow> STOP_ORDER = Comparator.<AttemptRow>comparingInt(
                    attempt -> -attempt.task.job.jobClass.ordinal())
            .thenComparingLong(attempt -> -attempt.startedMs)
            .thenComparing(attempt -> attempt.task.id());

    private final Tables tables;

    AllotmentEnforcementSystem(Tables tables) {
        this.tables = tables;
    }

    void run(Tick tick) {
        for (WorkspaceRow workspace : tables.workspaces.values()) {
            if (!remainingUsage(workspace).fitsIn(workspace.quota.allotment())) {
                stopExcess(tick, workspace);
            }
        }
    }

    /** Stops tasks until the remaining ones fit, the lowest class first and within a class the latest start first. */
    private void stopExcess(Tick tick, WorkspaceRow workspace) {
        for (AttemptRow attempt : running(workspace)) {
            Resources excess =
                    remainingUsage(workspace).minus(workspace.quota.allotment()).max(Resources.empty());
            if (excess.equals(Resources.empty())) {
                return;
            }
            if (!attempt.demand.min(excess).equals(Resources.empty())) {
                tick.stop(attempt, StopSystem.gracefulMode(attempt.task.job), "the workspace's limit was lowered");
            }
        }
    }

    private List<AttemptRow> running(WorkspaceRow workspace) {
        List<AttemptRow> running = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            for (AttemptRow attempt : worker.attempts) {
                if (attempt.task.job.workspace == workspace && attempt.stopMode == null) {
                    running.add(attempt);
                }
            }
        }
        running.sort(STOP_ORDER);
        return running;
    }

    private static Resources remainingUsage(WorkspaceRow workspace) {
        return workspace.used.minus(workspace.stopping);
    }
}
