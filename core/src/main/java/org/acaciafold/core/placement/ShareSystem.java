package org.acaciafold.core.placement;

/** Computes the fair share of each workspace among the workspaces with usage or demand. */
final class ShareSystem {
    private final Tables tables;

    ShareSystem(Tables tables) {
        this.tables = tables;
    }

    void run() {
        double weights = 0;
        for (WorkspaceRow workspace : tables.workspaces.values()) {
            weights += workspace.active() ? workspace.quota.weight() : 0;
        }
        for (WorkspaceRow workspace : tables.workspaces.values()) {
            workspace.fairShare = workspace.active() ? workspace.quota.weight() / weights : 0;
            workspace.shareAtTickStart = workspace.weightedShare(tables.capacity);
            workspace.aboveShareAtTickStart =
                    workspace.shareAtTickStart * workspace.quota.weight() >= workspace.fairShare;
        }
    }
}
