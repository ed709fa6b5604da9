package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/** Reports the demand of the waiting tasks of each workspace beyond its allotment. */
final class DemandReportSystem {
    private final Tables tables;

    DemandReportSystem(Tables tables) {
        this.tables = tables;
    }

    void run(Tick tick) {
        for (WorkspaceRow workspace : tables.workspaces.values()) {
            Resources missing = missing(workspace);
            if (!missing.equals(Resources.empty())) {
                tick.decisions.add(new Decision.RequestAllotment(workspace.id, missing));
            }
        }
    }

    private static Resources missing(WorkspaceRow workspace) {
        if (workspace.waitingDemand.equals(Resources.empty())) {
            return Resources.empty();
        }
        return workspace
                .used
                .plus(workspace.waitingDemand)
                .minus(workspace.quota.allotment())
                .max(Resources.empty());
    }
}
