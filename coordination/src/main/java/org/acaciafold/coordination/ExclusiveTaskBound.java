package org.acaciafold.coordination;

import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.settings.WorkspaceSettings;

/** Computes how long the owner of a slice may run exclusive tasks while the table is unresponsive. */
final class ExclusiveTaskBound {
    /** The bound in milliseconds for workspaces without settings. */
    static final long DEFAULT_REHOME_AFTER_MS = 600_000;

    private ExclusiveTaskBound() {}

    /**
     * Returns the time without contact to the table, in milliseconds, after which another failure domain may run the
     * jobs of a workspace.
     */
    static long rehomeAfterMs(HostState state, WorkspaceId workspace) {
        return state.settings()
                .workspace(workspace)
                .map(WorkspaceSettings::rehomeAfterMs)
                .orElse(DEFAULT_REHOME_AFTER_MS);
    }

    /** Returns whether the owner may start exclusive tasks of a workspace and renew their leases. */
    static boolean mayRunExclusive(HostState state, OwnedSlice slice, WorkspaceId workspace, long nowMs) {
        return slice.hasAuthority(nowMs) && nowMs < slice.tableContactMs() + rehomeAfterMs(state, workspace);
    }
}
