package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.acaciafold.fleet.StepProgress;
import org.acaciafold.fleet.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the crashes of workers under tasks, and gives up tasks that crash the workers that start them.
 *
 * <p>Most workers go down for other reasons, so a task is given up only after two crashes that nothing else explains, or
 * after four. A worker whose lease expired has not crashed if it answers again in the same incarnation.
 */
final class CrashSystem {
    private static final Logger LOG = LoggerFactory.getLogger(CrashSystem.class);

    /** Workers of a rack that fails are found silent within this time of each other. */
    private static final long SAME_CAUSE_MS = 2_000;

    private final Tables tables;
    private final EndSystem ends;
    /** The runs that ended with the lease of a worker that has not answered since, by worker. */
    private final Map<String, Expired> expired = new HashMap<>();

    CrashSystem(Tables tables, EndSystem ends) {
        this.tables = tables;
        this.ends = ends;
    }

    /** Records the crashes that a report proves, or withdraws those that it refutes. */
    void observe(WorkerRow worker, WorkerReport report) {
        long incarnation = report.incarnation();
        if (incarnation == 0) {
            return;
        }
        Expired silent = expired.remove(worker.id);
        if (silent != null) {
            silent.runs.forEach(run -> settle(run, incarnation != silent.incarnation));
        }
        if (worker.incarnation != 0 && worker.incarnation != incarnation) {
            if (worker.missedRenewals == 0) {
                worker.wentDown(tables.nowMs);
            }
            // a run that the new incarnation lists was ordered after the crash
            record(worker, true, run -> !report.lists(run.task.name, run.number));
        }
    }

    /** Records the crash of a worker whose incarnation has provably ended. */
    void incarnationEnded(WorkerRow worker) {
        Optional.ofNullable(expired.remove(worker.id))
                .ifPresent(silent -> silent.runs.forEach(run -> settle(run, true)));
        record(worker, true, run -> true);
    }

    /** Records possible crashes under the runs of a worker whose lease has expired. */
    void leaseExpired(WorkerRow worker) {
        if (worker.runs.isEmpty()) {
            return;
        }
        expired.values().removeIf(silent -> silent.runs.stream().noneMatch(run -> run.task.step.job.active()));
        List<RunRow> suspects = record(worker, false, run -> true);
        if (!suspects.isEmpty()) {
            expired.put(worker.id, new Expired(worker.incarnation, suspects));
        }
    }

    /** Clears the tasks whose runs prove them harmless, and gives up those that have used their last starts. */
    void run() {
        tables.crashed.removeIf(
                task -> task.done || task.crashes.isEmpty() || !task.step.job.active() || harmless(task));
        tables.crashed.forEach(this::countStarts);
    }

    private void countStarts(TaskRow task) {
        RunRow run = task.run().orElse(null);
        if (run == null && task.crashes.startsUsed()) {
            giveUp(task);
        } else if (run != null && run.phase == RunPhase.RUNNING) {
            task.crashes.running(run.number, tables.nowMs - run.sinceMs());
        }
    }

    private boolean harmless(TaskRow task) {
        RunRow run = task.run().orElse(null);
        boolean running = run != null && run.phase == RunPhase.RUNNING;
        if (!running || !CrashHistory.provesHarmless(run.worker.lastContactAtMs - run.sinceMs())) {
            return false;
        }
        task.crashes.clear(run.number);
        tables.unsaved(task.step.job);
        LOG.info("task cleared of crashes task={} run={} worker={}", task.name, run.number, run.worker.id);
        return true;
    }

    /** Records a crash under each run that was on a worker and may have ended with it; returns these runs. */
    private List<RunRow> record(WorkerRow worker, boolean restarted, Predicate<RunRow> mayHaveEnded) {
        if (worker.leftAsAnnounced()) {
            LOG.info("worker left as announced worker={} runs={}", worker.id, worker.runs.size());
            return List.of();
        }
        List<RunRow> under = new ArrayList<>();
        Set<JobRow> early = new HashSet<>();
        for (RunRow run : worker.runs.values()) {
            if (wasUnder(run, worker.downAtMs) && mayHaveEnded.test(run)) {
                under.add(run);
                if (ageMs(run) <= CrashHistory.EARLY_MS) {
                    early.add(run.task.step.job);
                }
            }
        }
        for (RunRow run : under) {
            JobRow job = run.task.step.job;
            int together = wentDownTogether(worker, job);
            long ageMs = ageMs(run);
            boolean sudden = restarted && !worker.silentBeforeDown && !mayHaveEnded(run, ageMs);
            boolean certain = sudden && run.phase == RunPhase.RUNNING;
            boolean nothingElse = certain
                    && together == 0
                    && run.orderedAtMs > 0
                    && Set.of(job).equals(early);
            add(run, new StepProgress.Crash(run.number, ageMs, certain, together), nothingElse);
            // a claim of an earlier leader does not tell whether the run was ever ordered
            if (sudden && run.orderedAtMs == 0) {
                run.task.crashes.suspect(run.number);
            }
        }
        return under;
    }

    private void add(RunRow run, StepProgress.Crash crash, boolean nothingElse) {
        TaskRow task = run.task;
        task.crashes = task.crashes == null ? new CrashHistory() : task.crashes;
        if (!task.crashes.add(crash)) {
            return;
        }
        tables.crashed.add(task);
        tables.unsaved(task.step.job);
        LOG.warn(
                "worker crashed under task={} run={} worker={} ageMs={} certain={} together={} crashes={}",
                task.name,
                run.number,
                run.worker.id,
                crash.ageMs(),
                crash.certain(),
                crash.together(),
                task.crashes.total());
        giveUpIfExhausted(task, nothingElse);
    }

    /** Settles whether a worker whose lease expired under a run has crashed. */
    private void settle(RunRow run, boolean crashed) {
        CrashHistory crashes = run.task.crashes;
        StepProgress.Crash possible = crashes.crash(run.number).orElse(null);
        if (possible == null || !run.task.step.job.active()) {
            return;
        }
        if (!crashed) {
            crashes.withdraw(run.number);
            tables.unsaved(run.task.step.job);
            LOG.info("no crash under task={} run={} worker={}", run.task.name, run.number, run.worker.id);
            return;
        }
        boolean certain = run.phase == RunPhase.RUNNING && !run.worker.silentBeforeDown;
        if (crashes.add(new StepProgress.Crash(run.number, possible.ageMs(), certain, possible.together()))) {
            tables.unsaved(run.task.step.job);
        }
        // a run elsewhere shall end by itself or prove the task harmless
        if (run.task.run().isEmpty()) {
            giveUpIfExhausted(run.task, false);
        }
    }

    private void giveUpIfExhausted(TaskRow task, boolean nothingElse) {
        if (task.step.job.active() && task.crashes.exhausted(nothingElse)) {
            giveUp(task);
        }
    }

    private void giveUp(TaskRow task) {
        JobRow job = task.step.job;
        if (!job.active()) {
            return;
        }
        LOG.warn(
                "task given up job={} task={}.{}.{} crashes={}",
                job.job.id(),
                task.step.occurrence,
                task.step.index,
                task.index,
                task.crashes.recorded(task.index).crashes());
        ends.giveUp(job);
    }

    private static boolean wasUnder(RunRow run, long downAtMs) {
        boolean orderedLater = run.phase != RunPhase.RUNNING && run.orderedAtMs > downAtMs;
        boolean present = run.phase != RunPhase.CLAIMED && !orderedLater;
        boolean open = !run.task.done && run.task.step.job.active();
        return present && open && !CrashHistory.provesHarmless(ageMs(run));
    }

    /** Returns whether a run may have ended before its worker went down, with an end that was never listed. */
    private static boolean mayHaveEnded(RunRow run, long ageMs) {
        return run.orderedAtMs > 0 && !run.task.step.spec.longRunning() && ageMs > run.task.step.spec.estimateMs();
    }

    private static long ageMs(RunRow run) {
        return Math.max(0, run.worker.downAtMs - run.sinceMs());
    }

    /** Returns how many other workers went down about then, without those that ran tasks of the same job. */
    private int wentDownTogether(WorkerRow worker, JobRow job) {
        int count = 0;
        for (WorkerRow other : tables.workers.values()) {
            boolean together = other != worker
                    && other.downAtMs >= 0
                    && Math.abs(other.downAtMs - worker.downAtMs) <= SAME_CAUSE_MS;
            count += together && !other.jobsWhenDown.contains(job) ? 1 : 0;
        }
        return count;
    }

    /**
     * The runs that ended with a worker's lease.
     *
     * @param incarnation the incarnation on which they ran
     * @param runs the runs
     */
    private record Expired(long incarnation, List<RunRow> runs) {}
}
