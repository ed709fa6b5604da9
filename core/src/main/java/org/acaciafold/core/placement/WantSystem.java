package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/** Tells what the waiting tasks of each team need beyond its allotment. */
final class WantSystem {
    private final Tables tables;

    WantSystem(Tables tables) {
        this.tables = tables;
    }

    void run(Tick tick) {
        for (TeamRow team : tables.teams.values()) {
            Resources missing = missing(team);
            if (!missing.equals(Resources.empty())) {
                tick.decisions.add(new Decision.WantsAllotment(team.id, missing));
            }
        }
    }

    private static Resources missing(TeamRow team) {
        if (team.waitingDemand.equals(Resources.empty())) {
            return Resources.empty();
        }
        return team.used.plus(team.waitingDemand).minus(team.terms.allotment()).max(Resources.empty());
    }
}
