package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.port.StopMode;

/** One run of the systems: its time and the decisions made so far. */
final class Tick {
    final long nowMs;
    final List<Decision> decisions = new ArrayList<>();

    Tick(long nowMs) {
        this.nowMs = nowMs;
    }

    /** Decides that an attempt is stopped; a weaker mode than one asked before is left out. */
    void stop(AttemptRow attempt, StopMode mode, String reason) {
        boolean repeated = attempt.phase == AttemptRow.Phase.STOPPING && mode != StopMode.KILL;
        if (repeated || attempt.stopMode == mode) {
            return;
        }
        attempt.phase = AttemptRow.Phase.STOPPING;
        attempt.stopMode = mode;
        attempt.stopAskedMs = nowMs;
        decisions.add(new Decision.StopTask(attempt.task.id(), attempt.worker.spec.id(), attempt.number, mode, reason));
    }
}
