package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.port.StopMode;

/** One run of the systems, with its time and the decisions made so far. */
final class Tick {
    static final long STOP_REPEAT_MS = 15_000;

    final Tables tables;
    final long nowMs;
    final List<Decision> decisions = new ArrayList<>();

    Tick(Tables tables, long nowMs) {
        this.tables = tables;
        this.nowMs = nowMs;
    }

    /** Decides to stop an attempt; a mode weaker than one requested before is ignored. */
    void stop(AttemptRow attempt, StopMode mode, String reason) {
        boolean requested = attempt.stopMode != null;
        if (requested && mode != StopMode.KILL || attempt.stopMode == mode) {
            return;
        }
        if (!requested) {
            WorkspaceRow workspace = attempt.task.job.workspace;
            workspace.stopping = workspace.stopping.plus(attempt.demand);
            tables.timers.add(nowMs + STOP_REPEAT_MS, new TimedAction.RepeatStop(attempt));
        }
        attempt.phase = AttemptRow.Phase.STOPPING;
        attempt.stopMode = mode;
        emitStop(attempt, reason);
    }

    /** Emits the decision to stop an attempt; it is repeated because a stop request may be lost. */
    void emitStop(AttemptRow attempt, String reason) {
        attempt.stopRequests++;
        decisions.add(new Decision.StopTask(
                attempt.task.id(), attempt.worker.spec.id(), attempt.number, attempt.stopMode, reason));
    }
}
