package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Gives steps their turn that may start only while no other run of their workspace may still start.
 *
 * <p>Where small tasks of a workspace keep starting, one of them is always on its way, so a step that exceeds the limit by
 * one task would wait for as long as they do. During its turn they hold back.
 */
final class LimitTurns {
    /** How long a step waits before its turn; the contract lets no job stand for longer than 3 s. */
    private static final long MIN_WAIT_MS = 1_000;

    /** How long a turn lasts at most; orders are answered, and advice is given, in less time. */
    private static final long MAX_TURN_MS = 1_500;

    /** How long a step that has not started in its turn waits for the next one, so that it does not stop the others. */
    private static final long REPEAT_MS = 10_000;

    private final Map<String, Turn> byWorkspace = new HashMap<>();

    /** Returns whether a step holds back for another one of its workspace. */
    boolean holdsBack(StepRow step, long nowMs) {
        Turn turn = byWorkspace.get(workspace(step));
        return turn != null && turn.step != step && nowMs < turn.endsAtMs && turn.waits();
    }

    /** Begins the turn of a step that has waited long enough, unless another one has its turn. */
    void request(StepRow step, long nowMs) {
        Turn last = byWorkspace.get(workspace(step));
        long pauseMs = last != null && last.step == step ? REPEAT_MS : 0;
        boolean free = last == null || nowMs >= last.endsAtMs + pauseMs;
        boolean waitsLong = step.waitingSinceMs >= 0 && nowMs - step.waitingSinceMs >= MIN_WAIT_MS;
        if (free && waitsLong && !step.job.atWork()) {
            byWorkspace.put(workspace(step), new Turn(step, nowMs + MAX_TURN_MS));
        }
    }

    private static String workspace(StepRow step) {
        return step.job.job.workspace();
    }

    private record Turn(StepRow step, long endsAtMs) {
        private boolean waits() {
            return step.job.active() && step.hasNoRuns() && step.remaining > 0;
        }
    }
}
