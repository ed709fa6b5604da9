package org.acaciafold.fleet.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.fleet.StepProgress;

/**
 * The crashes of workers under one task.
 *
 * <p>A crash is named by the number of the run, so that it counts once when several leaders notice it.
 */
final class CrashHistory {
    /** A task that crashes its workers does so soon after its start; the time includes the detection of the crash. */
    static final long EARLY_MS = 3_000;

    /** A run that lasts this long proves its task harmless; lasting tasks outlive many workers. */
    private static final long HARMLESS_AFTER_MS = 10_000;

    /** Number of crashes under a task that runs nowhere else any more, whatever else happened at the same time. */
    private static final int MAX_CRASHES = 4;

    /** So many other workers that go down at the same time tell of a rack or a failure domain, not of a task. */
    private static final int MASS_FAILURE = 4;

    /** The contract allows that a task is given up when two workers have crashed under it. */
    private static final int MIN_CERTAIN_CRASHES = 2;

    /** After so many crashes the contract counts the starts, however they end. */
    private static final int CRASHES_BEFORE_LAST_STARTS = 3;

    private static final int MAX_LAST_STARTS = 2;

    private final TreeMap<Integer, StepProgress.Crash> byRun = new TreeMap<>();
    /** The runs after these crashes that did not last long enough to tell whether they crash their workers. */
    private final Set<Integer> lastStarts = new HashSet<>();

    /** The runs under which a crash is no proof, but reason enough to try the task apart from others in this term. */
    private final Set<Integer> suspected = new HashSet<>();

    private int clearedRun;

    static CrashHistory of(StepProgress.TaskCrashes recorded) {
        CrashHistory history = new CrashHistory();
        history.clearedRun = recorded.clearedRun();
        recorded.crashes().forEach(crash -> history.byRun.put(crash.run(), crash));
        return history;
    }

    /** Adds a crash; returns false when it is known, or precedes the proof that the task is harmless. */
    boolean add(StepProgress.Crash crash) {
        StepProgress.Crash known = byRun.get(crash.run());
        if (crash.run() <= clearedRun || known != null && (known.certain() || !crash.certain())) {
            return false;
        }
        byRun.put(crash.run(), crash);
        return true;
    }

    /** Records that the crash under a run, which may never have been ordered, makes the task suspect all the same. */
    void suspect(int run) {
        suspected.add(run);
    }

    /** Removes a crash that turned out to be none; returns whether it was known. */
    boolean withdraw(int run) {
        suspected.remove(run);
        return byRun.remove(run) != null;
    }

    /** Removes all crashes, since a run has proved the task harmless. */
    void clear(int run) {
        clearedRun = Math.max(clearedRun, run);
        byRun.clear();
        lastStarts.clear();
        suspected.clear();
    }

    /** Records that a run is on its worker. */
    void running(int run, long ageMs) {
        if (ageMs > EARLY_MS) {
            lastStarts.remove(run);
        } else if (byRun.size() >= CRASHES_BEFORE_LAST_STARTS) {
            lastStarts.add(run);
        }
    }

    Optional<StepProgress.Crash> crash(int run) {
        return Optional.ofNullable(byRun.get(run));
    }

    boolean isEmpty() {
        return byRun.isEmpty();
    }

    int total() {
        return byRun.size();
    }

    /** Returns whether a run that has lasted for a time proves its task harmless. */
    static boolean provesHarmless(long ageMs) {
        return ageMs > HARMLESS_AFTER_MS;
    }

    /** Returns whether the task must not run beside another suspect, so that the next crash tells which of them it was. */
    boolean suspect() {
        if (byRun.size() >= MIN_CERTAIN_CRASHES) {
            return true;
        }
        return byRun.values().stream()
                .filter(crash -> crash.certain() || suspected.contains(crash.run()))
                .anyMatch(crash -> crash.ageMs() <= EARLY_MS && crash.together() < MASS_FAILURE);
    }

    /**
     * Returns whether the task must not be started any more.
     *
     * @param nothingElse true when nothing else can have caused the last crash
     */
    boolean exhausted(boolean nothingElse) {
        boolean proved = nothingElse && incriminating() >= MIN_CERTAIN_CRASHES;
        // the contract allows one start more, which is left for a crash that was not noticed
        return proved || byRun.size() >= MAX_CRASHES;
    }

    /** Returns whether the starts are used up that the contract allows after three crashes. */
    boolean startsUsed() {
        long proved =
                byRun.values().stream().filter(StepProgress.Crash::certain).count();
        if (byRun.size() < CRASHES_BEFORE_LAST_STARTS || proved < MIN_CERTAIN_CRASHES) {
            return false;
        }
        int lastBefore = List.copyOf(byRun.keySet()).get(CRASHES_BEFORE_LAST_STARTS - 1);
        return lastStarts.stream()
                        .filter(run -> run > lastBefore && !byRun.containsKey(run))
                        .count()
                >= MAX_LAST_STARTS;
    }

    StepProgress.TaskCrashes recorded(int task) {
        return new StepProgress.TaskCrashes(task, clearedRun, List.copyOf(byRun.values()));
    }

    /** Returns the number of crashes that the task alone explains. */
    private long incriminating() {
        return byRun.values().stream()
                .filter(crash -> crash.certain() && crash.together() == 0 && crash.ageMs() <= EARLY_MS)
                .count();
    }
}
