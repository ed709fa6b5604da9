package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.TaskName;

/** Checks the scheduler's rules only against what workers and clients observe. */
final class Oracle {
    /** The contract allows a workspace to exceed its limit by a tenth and one task. */
    private static final double QUOTA_OVERAGE = 1.1;

    /** The lease of a worker that a task has crashed, and the gangs on it, are over after this time. */
    private static final long CRASH_EFFECTS_MS = 16_000;

    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<TaskName, String> running = new HashMap<>();
    private final Map<TaskName, Set<Integer>> acknowledgedFailures = new HashMap<>();
    private final Set<TaskName> done = new HashSet<>();
    private final Set<TaskName> acknowledgedDone = new HashSet<>();
    private final Set<TaskName> poison = new HashSet<>();
    private final Map<TaskName, Long> lastEndMs = new HashMap<>();
    private final Map<String, Long> acceptedMs = new HashMap<>();
    private final Random random;
    private final Limits limits;
    private boolean faultsOver;
    final List<String> violations = new ArrayList<>();
    final CrashFaults crashes;

    Oracle(long seed, boolean crashes, Random random, Limits limits) {
        this.crashes = new CrashFaults(seed, crashes, violations);
        this.random = random;
        this.limits = limits;
    }

    void submitted(Job job, long nowMs) {
        jobs.put(job.id(), job);
        acceptedMs.put(job.id(), nowMs);
        crashes.submitted(job);
    }

    long acceptedMs(String job) {
        return acceptedMs.get(job);
    }

    /** Returns whether no task of a job runs. */
    boolean usesNothing(Job job) {
        return running.keySet().stream().noneMatch(task -> task.job().equals(job.id()));
    }

    /** Returns whether a step has tasks to do and all steps before it are done. */
    boolean turnHasCome(Job job, int index) {
        return !stepDone(job, index)
                && job.steps().get(index).after().stream().allMatch(before -> stepDone(job, before));
    }

    private boolean stepDone(Job job, int index) {
        return IntStream.range(0, job.steps().get(index).count())
                .allMatch(task -> done.contains(new TaskName(job.id(), 0, index, task)));
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }

    /** Records that earlier faults have no effects any more, so that no gang member may end alone from now on. */
    void faultsOver() {
        faultsOver = true;
    }

    boolean needsTicket(TaskName task) {
        return jobs.get(task.job()).route().advice().isPresent();
    }

    boolean fails(TaskName task) {
        return poison.contains(task) || random.nextInt(30) == 0;
    }

    void poison(TaskName task) {
        poison.add(task);
    }

    StepSpec runStarted(TaskName task, int run, FakeWorker target, long nowMs) {
        String worker = target.id;
        Job job = jobs.get(task.job());
        check(job != null, "UNASKED: " + task);
        StepSpec step = step(task);
        check(
                !running.containsKey(task),
                "TWICE: " + task + " run " + run + " on " + worker + " and " + running.get(task));
        check(!acknowledgedDone.contains(task), "TWICE: " + task + " run " + run + " after its end was acknowledged");
        int attempts = job.route().maxAttempts();
        int failures = acknowledgedFailures
                .getOrDefault(attemptBudgetOwner(task), Set.of())
                .size();
        check(step.longRunning() || failures < attempts, "BUDGET: " + task + " run " + run);
        for (int before : job.steps().get(task.step()).after()) {
            for (int i = 0; i < job.steps().get(before).count(); i++) {
                TaskName earlier = new TaskName(task.job(), 0, before, i);
                check(done.contains(earlier), "ORDER: " + task + " before " + earlier);
            }
        }
        crashes.started(task);
        running.put(task, worker);
        checkRoute(task, step, target);
        String workspace = job.workspace();
        long allowed = Math.round(limits.highestMillis(workspace, nowMs) * QUOTA_OVERAGE)
                + step.each().cpuMillis();
        long used = usedMillis(workspace);
        check(used <= allowed, "QUOTA: " + used + " of " + allowed + " with " + task);
        return step;
    }

    private void checkRoute(TaskName task, StepSpec step, FakeWorker target) {
        boolean matches =
                target.shape.service().equals(jobs.get(task.job()).route().service())
                        && (step.label().isEmpty() || target.shape.label().equals(step.label()))
                        && (step.maxPerWorker() == 0 || target.runsOf(task.stepName()) < step.maxPerWorker());
        check(matches, "ROUTE: " + task + " on " + target.id);
    }

    /** Returns the processors that the tasks of a workspace use, in thousandths of a core. */
    long usedMillis(String workspace) {
        long used = 0;
        for (TaskName task : running.keySet()) {
            Job job = jobs.get(task.job());
            used += job.workspace().equals(workspace) ? step(task).each().cpuMillis() : 0;
        }
        return used;
    }

    boolean running(TaskName task) {
        return running.containsKey(task);
    }

    boolean done(TaskName task) {
        return done.contains(task);
    }

    /** Returns when the last run of a task ended, whether or not a leader knows it. */
    long lastEndMs(TaskName task) {
        return lastEndMs.getOrDefault(task, 0L);
    }

    StepSpec step(TaskName task) {
        return jobs.get(task.job()).steps().get(task.step());
    }

    /** Returns the task under which failures are counted: the task itself, or the first member for all of a gang. */
    private TaskName attemptBudgetOwner(TaskName task) {
        return step(task).gang() ? new TaskName(task.job(), task.occurrence(), task.step(), 0) : task;
    }

    /** Returns the tasks that are complete when one task ends as DONE: the task itself, or all members of its gang. */
    private List<TaskName> completedTasks(TaskName task) {
        StepSpec step = step(task);
        if (!step.gang()) {
            return List.of(task);
        }
        return IntStream.range(0, step.count())
                .mapToObj(index -> new TaskName(task.job(), task.occurrence(), task.step(), index))
                .toList();
    }

    void runRemoved(TaskName task, String worker, long nowMs) {
        running.remove(task, worker);
        lastEndMs.merge(task, nowMs, Math::max);
    }

    void runEnded(TaskName task, int run, EndKind kind, String worker, long nowMs) {
        runRemoved(task, worker, nowMs);
        crashes.ended(attemptBudgetOwner(task), run, kind);
        if (kind == EndKind.DONE && !step(task).longRunning()) {
            done.addAll(completedTasks(task));
        }
        check(
                !faultsOver || kind != EndKind.ALONE || crashes.crashedWithin(CRASH_EFFECTS_MS),
                "GANG: " + task + " on " + worker + " ended without the other members");
    }

    void endAcknowledged(RunEnd end) {
        if (end.kind() == EndKind.DONE && !step(end.task()).longRunning()) {
            acknowledgedDone.addAll(completedTasks(end.task()));
        } else if (end.kind() == EndKind.FAILED) {
            acknowledgedFailures
                    .computeIfAbsent(attemptBudgetOwner(end.task()), task -> new HashSet<>())
                    .add(end.run());
        }
    }

    void published(Map<String, JobState> states) {
        states.forEach((id, state) -> {
            Job job = jobs.get(id);
            crashes.published(job, state);
            if (state == JobState.COMPLETED) {
                for (int step = 0; step < job.steps().size(); step++) {
                    for (int i = 0; i < job.steps().get(step).count(); i++) {
                        TaskName task = new TaskName(id, 0, step, i);
                        check(done.contains(task), "MIXED: " + id + " is completed without " + task);
                    }
                }
            }
        });
    }
}
