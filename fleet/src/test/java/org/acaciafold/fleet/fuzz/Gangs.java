package org.acaciafold.fleet.fuzz;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.TaskName;

/**
 * Simulates gangs by the platform's contract.
 *
 * <p>Members work while all members of one run are present, and end together.
 */
final class Gangs {
    private static final long MEMBER_WAIT_MS = 3_000;

    private final Map<Key, Gang> gangs = new HashMap<>();

    void join(TaskName task, int run, int count, long workMs, boolean fails, long nowMs) {
        Gang gang = gangs.computeIfAbsent(new Key(task.stepName(), run), key -> new Gang());
        gang.members.add(task.index());
        gang.joinedAtMs.put(task.index(), nowMs);
        gang.fails |= fails;
        if (gang.members.size() == count && !gang.broken) {
            gang.endsAtMs = nowMs + workMs;
        }
    }

    void leave(TaskName task, int run) {
        Gang gang = gangs.get(new Key(task.stepName(), run));
        if (gang != null && gang.members.remove(task.index())) {
            gang.broken |= gang.endsAtMs >= 0 && !gang.ended;
            gang.endsAtMs = gang.ended ? gang.endsAtMs : -1;
        }
    }

    /** Returns how a member's run ends now, or empty while it continues. */
    Optional<EndKind> endKind(TaskName task, int run, long nowMs) {
        Gang gang = gangs.get(new Key(task.stepName(), run));
        if (gang.broken) {
            return Optional.of(EndKind.BROKEN);
        }
        if (gang.endsAtMs >= 0 && nowMs >= gang.endsAtMs) {
            // in a failing gang, one member ends as FAILED, which breaks the run of the others
            gang.ended |= !gang.fails;
            return Optional.of(gang.fails ? EndKind.FAILED : EndKind.DONE);
        }
        boolean alone = gang.endsAtMs < 0 && nowMs - gang.joinedAtMs.get(task.index()) > MEMBER_WAIT_MS;
        return alone ? Optional.of(EndKind.ALONE) : Optional.empty();
    }

    private record Key(StepName step, int run) {}

    private static final class Gang {
        private final Set<Integer> members = new HashSet<>();
        private final Map<Integer, Long> joinedAtMs = new HashMap<>();
        private boolean fails;
        private boolean broken;
        private boolean ended;
        private long endsAtMs = -1;
    }
}
