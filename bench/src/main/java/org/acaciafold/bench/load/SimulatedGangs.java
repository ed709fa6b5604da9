package org.acaciafold.bench.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.TaskName;

/** Simulates gangs, whose tasks start to work when all members have started, and end together. */
final class SimulatedGangs {
    /** How long a member waits for the others; {@code gang_timeout_ms} of the users' deployments. */
    private static final long JOIN_TIMEOUT_MS = 3_000;

    private final Map<Key, Gang> gangs = new HashMap<>();

    void join(TaskName task, int run, int size, long workMs, boolean fails, long nowMs) {
        Gang gang = gangs.computeIfAbsent(new Key(task.stepName(), run), key -> new Gang(nowMs));
        gang.present++;
        gang.workMs = Math.max(gang.workMs, workMs);
        gang.fails |= fails;
        if (gang.present == size) {
            gang.endsAtMs = nowMs + gang.workMs;
        }
    }

    /** Records that a member ended without success, which ends the other members as broken. */
    void memberFailed(TaskName task, int run) {
        Gang gang = gangs.get(new Key(task.stepName(), run));
        if (gang != null && gang.ending == null) {
            gang.ending = EndKind.BROKEN;
        }
    }

    /** Returns how a member ends at the given time, or empty while it works or waits for the others. */
    Optional<EndKind> ending(TaskName task, int run, long nowMs) {
        Gang gang = gangs.get(new Key(task.stepName(), run));
        if (gang.ending == null && nowMs >= gang.endsAtMs) {
            gang.ending = gang.fails ? EndKind.FAILED : EndKind.DONE;
        }
        if (gang.ending == null && gang.endsAtMs == Long.MAX_VALUE && nowMs - gang.firstJoinedAtMs > JOIN_TIMEOUT_MS) {
            return Optional.of(EndKind.ALONE);
        }
        return Optional.ofNullable(gang.ending);
    }

    private record Key(StepName step, int run) {}

    private static final class Gang {
        private final long firstJoinedAtMs;
        private int present;
        private long workMs;
        private boolean fails;
        private long endsAtMs = Long.MAX_VALUE;
        private EndKind ending;

        private Gang(long beganAtMs) {
            this.firstJoinedAtMs = beganAtMs;
        }
    }
}
