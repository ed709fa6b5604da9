package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.StepProgress;
import org.acaciafold.fleet.StepSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One step of one occurrence of a job. */
final class StepRow {
    /** Workers list an end again until it is acknowledged, so only the latest failed runs can come twice. */
    private static final int MAX_LASTING_FAILURES = 16;

    /** Bounds the record of a step; a crash that is not recorded is forgotten by the next leader. */
    private static final int MAX_RECORDED_CRASHES = 2_000;

    private static final Logger LOG = LoggerFactory.getLogger(StepRow.class);

    final JobRow job;
    final int occurrence;
    final int index;
    final StepSpec spec;
    final List<TaskRow> tasks = new ArrayList<>();
    final Map<String, Ticket> tickets = new HashMap<>();
    /** The workers that advice allows, with the incarnation that it allows. */
    final Map<String, Long> allowed = new HashMap<>();
    /** The workers that advice did not allow. */
    final Map<String, Denial> denied = new HashMap<>();

    final Map<String, Integer> reserved = new HashMap<>();
    final Set<Integer> failedGangRuns = new TreeSet<>();
    boolean adviceInFlight;
    /** True while that call only asks again about denied workers, so that the step may start tasks meanwhile. */
    boolean reviewInFlight;
    /** Before this time no denial of the step is due to be reviewed. */
    long reviewAfterMs = Long.MIN_VALUE;
    /** True from a call for advice that failed or was abandoned until the next answer. */
    boolean callUnanswered;

    long adviceAfterMs;
    /** True when the last attempt to request advice found no candidate workers. */
    boolean waitsForCapacity;
    /** Why waiting tasks did not start in the last tick in which the step was ready. */
    WaitReason waitReason = WaitReason.NONE;

    int remaining;
    long readyAtMs = -1;
    /** Since when at least one task of the step has waited without a break, or was lost; -1 when none waits. */
    long waitingSinceMs = -1;

    long incompleteSinceMs = -1;
    /** When the end of the last completed task was reported. */
    long doneAtMs;

    StepRow(JobRow job, int occurrence, int index, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = index;
        this.spec = spec;
        this.remaining = spec.count();
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskRow(this, i));
        }
    }

    /** Records that a task of the step has not been at work since a time before it began to wait. */
    void waitsSince(long atMs) {
        waitingSinceMs = waitingSinceMs < 0 ? atMs : Math.min(waitingSinceMs, atMs);
    }

    StepName name() {
        return new StepName(job.job.id(), occurrence, index);
    }

    boolean allows(WorkerRow worker) {
        return isAbout(allowed.get(worker.id), worker);
    }

    boolean denies(WorkerRow worker) {
        return denial(worker).isPresent();
    }

    /** Returns what advice said of the present incarnation of a worker that it did not allow. */
    Optional<Denial> denial(WorkerRow worker) {
        return Optional.ofNullable(denied.get(worker.id)).filter(denial -> denial.incarnation() == worker.incarnation);
    }

    /** Returns whether the step has a ticket for the present incarnation of a worker that is still valid at a time. */
    boolean hasTicketUntil(long atMs, WorkerRow worker) {
        Ticket ticket = tickets.get(worker.id);
        return ticket != null && ticket.valid(atMs, worker.incarnation);
    }

    /** Returns whether nothing of the step can be planned before the answer to its call for advice. */
    boolean waitsForAdvice() {
        return adviceInFlight && !reviewInFlight;
    }

    boolean ready() {
        if (remaining == 0) {
            return false;
        }
        for (int predecessor : spec.after()) {
            if (job.step(occurrence, predecessor).remaining > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of the next run of the gang, which is higher than that of any run of its members. */
    int nextGangRun(int firstRun) {
        int last = firstRun - 1;
        for (TaskRow task : tasks) {
            last = Math.max(last, task.lastRun);
        }
        return Math.max(firstRun, last + 1);
    }

    boolean hasNoRuns() {
        for (TaskRow task : tasks) {
            if (task.run().isPresent()) {
                return false;
            }
        }
        return true;
    }

    boolean hasWaitingTasks() {
        for (TaskRow task : tasks) {
            if (task.waiting()) {
                return true;
            }
        }
        return false;
    }

    List<TaskRow> waitingTasks() {
        List<TaskRow> waiting = new ArrayList<>();
        for (TaskRow task : tasks) {
            if (task.waiting()) {
                waiting.add(task);
            }
        }
        return waiting;
    }

    /** Marks all tasks as done. */
    void complete() {
        tasks.forEach(task -> task.done = true);
        remaining = 0;
    }

    /** Returns the durable record of the progress; empty while there is none. */
    Optional<StepProgress> progress() {
        BitSet done = new BitSet(tasks.size());
        List<StepProgress.TaskFailures> failures = new ArrayList<>();
        for (TaskRow task : tasks) {
            done.set(task.index, task.done);
            if (!task.failedRuns.isEmpty()) {
                failures.add(new StepProgress.TaskFailures(task.index, recordedFailures(task)));
            }
        }
        List<StepProgress.TaskCrashes> crashes = recordedCrashes();
        if (done.isEmpty() && failures.isEmpty() && crashes.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new StepProgress(
                occurrence, index, done.toByteArray(), failures, List.copyOf(failedGangRuns), crashes));
    }

    /** Applies what an earlier leader has recorded. */
    void restore(StepProgress recorded) {
        BitSet done = BitSet.valueOf(recorded.done());
        for (TaskRow task : tasks) {
            task.done = done.get(task.index);
        }
        for (StepProgress.TaskFailures failed : recorded.failures()) {
            recordedTask(failed.task()).ifPresent(task -> {
                task.failedRuns.addAll(failed.runs());
                failed.runs().forEach(run -> task.lastRun = Math.max(task.lastRun, run));
            });
        }
        for (StepProgress.TaskCrashes crashed : recorded.crashes()) {
            recordedTask(crashed.task()).ifPresent(task -> task.crashes = CrashHistory.of(crashed));
        }
        failedGangRuns.addAll(recorded.failedGangRuns());
        remaining = (int) tasks.stream().filter(task -> !task.done).count();
    }

    /** Returns the failed runs to record; tasks that last have no attempts to count, so only the latest ones matter. */
    private List<Integer> recordedFailures(TaskRow task) {
        List<Integer> runs = List.copyOf(task.failedRuns);
        return spec.longRunning() ? runs.subList(Math.max(0, runs.size() - MAX_LASTING_FAILURES), runs.size()) : runs;
    }

    /** Returns the crashes to record, without those of tasks that are done; those with the most crashes come first. */
    private List<StepProgress.TaskCrashes> recordedCrashes() {
        return tasks.stream()
                .filter(task -> task.crashes != null && !task.done)
                .sorted(Comparator.comparingInt((TaskRow task) -> -task.crashes.total()))
                .limit(MAX_RECORDED_CRASHES)
                .map(task -> task.crashes.recorded(task.index))
                .toList();
    }

    /** Returns the task that a part of the progress is about; empty when the step has none with its index. */
    private Optional<TaskRow> recordedTask(int taskIndex) {
        if (taskIndex < 0 || taskIndex >= tasks.size()) {
            LOG.warn("progress ignored step={} task={}", name(), taskIndex);
            return Optional.empty();
        }
        return Optional.of(tasks.get(taskIndex));
    }

    private static boolean isAbout(Long incarnation, WorkerRow worker) {
        return incarnation != null && incarnation == worker.incarnation;
    }
}
