package org.acaciafold.coordination;

import org.acaciafold.core.model.TeamId;
import org.acaciafold.settings.TeamSettings;

/** Until when the owner of a slice may run exclusive tasks without an answer of the table. */
final class ExclusiveBound {
    /** The time in milliseconds for teams without settings. */
    static final long DEFAULT_REHOME_AFTER_MS = 600_000;

    private ExclusiveBound() {}

    /** Returns the time without the table after which another failure domain may run the jobs of a team. */
    static long rehomeAfterMs(HostState state, TeamId team) {
        return state.settings().team(team).map(TeamSettings::rehomeAfterMs).orElse(DEFAULT_REHOME_AFTER_MS);
    }

    /** Tells whether the owner may start exclusive tasks of a team and renew their leases. */
    static boolean holds(HostState state, OwnedSlice slice, TeamId team, long nowMs) {
        return slice.hasAuthority(nowMs) && nowMs < slice.tableContactMs() + rehomeAfterMs(state, team);
    }
}
