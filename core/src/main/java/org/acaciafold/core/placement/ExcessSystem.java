package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.acaciafold.core.model.Resources;

/** Stops what a team has running beyond its allotment after the allotment was lowered. */
final class ExcessSystem {
    private static final Comparator<AttemptRow> FIRST_TO_STOP = Comparator.<AttemptRow>comparingInt(
                    attempt -> -attempt.task.job.jobClass.ordinal())
            .thenComparingLong(attempt -> -attempt.startedMs)
            .thenComparing(attempt -> attempt.task.id());

    private final Tables tables;

    ExcessSystem(Tables tables) {
        this.tables = tables;
    }

    void run(Tick tick) {
        for (TeamRow team : tables.teams.values()) {
            if (!staying(team).fitsIn(team.terms.allotment())) {
                stopExcess(tick, team);
            }
        }
    }

    /** Stops the lowest class first and the latest start first, until what stays fits. */
    private void stopExcess(Tick tick, TeamRow team) {
        for (AttemptRow attempt : running(team)) {
            Resources excess = staying(team).minus(team.terms.allotment()).max(Resources.empty());
            if (excess.equals(Resources.empty())) {
                return;
            }
            if (!attempt.demand.min(excess).equals(Resources.empty())) {
                tick.stop(attempt, StopSystem.gentle(attempt.task.job), "the team's limit was lowered");
            }
        }
    }

    private List<AttemptRow> running(TeamRow team) {
        List<AttemptRow> running = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            for (AttemptRow attempt : worker.attempts) {
                if (attempt.task.job.team == team && attempt.stopMode == null) {
                    running.add(attempt);
                }
            }
        }
        running.sort(FIRST_TO_STOP);
        return running;
    }

    private static Resources staying(TeamRow team) {
        return team.used.minus(team.stopping);
    }
}
