package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TeamId;

/** A team in the table of teams. */
final class TeamRow {
    private static final TeamTerms NO_TERMS = new TeamTerms(
            1,
            Resources.empty(),
            new ServicePolicy.Spread(1),
            new BatchPolicy.SubmissionOrder(),
            new GangPolicy.WhenFree());

    final TeamId id;
    final ClassQueue[] queues = new ClassQueue[JobClass.values().length];
    TeamTerms terms = NO_TERMS;
    Resources used = Resources.empty();
    Resources waitingDemand = Resources.empty();

    TeamRow(TeamId id) {
        this.id = id;
        for (JobClass jobClass : JobClass.values()) {
            queues[jobClass.ordinal()] = new ClassQueue(this);
        }
    }

    /** Tells whether the allotment leaves room. */
    boolean allows(Resources demand) {
        return used.plus(demand).fitsIn(terms.allotment());
    }

    ClassQueue queue(JobClass jobClass) {
        return queues[jobClass.ordinal()];
    }

    /** Returns the dominant share of the team over its weight. */
    double weightedShare(Resources capacity) {
        return used.dominantShare(capacity) / terms.weight();
    }
}
