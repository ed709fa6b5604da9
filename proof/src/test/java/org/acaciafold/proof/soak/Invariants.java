package org.acaciafold.proof.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Clock;
import org.acaciafold.platform.RunListener;

/**
 * Checks the invariants of the scheduler, using only what workers and callers observe.
 *
 * <p>A task never has two runs at the same time and never runs again after an acknowledged end. No worker is assigned
 * more than its capacity. A step starts only after the previous step is done. No task of a job runs if the job was
 * rejected, or long after it was cancelled. A job is reported as completed only when its tasks are, and never as
 * failed, since no task fails more than once.
 */
final class Invariants implements RunListener {
    /** The longest time after a cancellation at which a worker may still execute a delayed command. */
    private static final long CANCEL_LIMIT_MS = 12_000;

    private static final int OK = 200;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final Clock clock;
    private final int cpuMillis;
    private final int capacityMillis;
    private final Map<String, Job> jobs = new TreeMap<>();
    private final Map<String, Task> tasks = new HashMap<>();
    private final Map<String, Integer> used = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long starts;

    Invariants(Clock clock, int cpuMillis, int capacityMillis) {
        this.clock = clock;
        this.cpuMillis = cpuMillis;
        this.capacityMillis = capacityMillis;
    }

    synchronized void submitted(String job, int tasksPerStep) {
        jobs.computeIfAbsent(job, name -> new Job(tasksPerStep)).attempts++;
    }

    /** Records the HTTP status of the response to a submission; 0 means that there was none. */
    synchronized void answered(String job, int status) {
        Job recorded = jobs.get(job);
        if (status == OK) {
            recorded.accepted = true;
        } else if (status == TOO_MANY || status == UNAVAILABLE) {
            recorded.refusals++;
        }
    }

    synchronized void cancelled(String job) {
        jobs.get(job).cancelledAtMs = clock.nowMs();
    }

    synchronized void cancelling(String job) {
        jobs.get(job).cancelling = true;
    }

    /** Checks a job state that a host returned to a caller. */
    synchronized void stateReported(String job, String state) {
        Job recorded = jobs.get(job);
        if (state.equals("completed") && recorded.done.size() < 2 * recorded.tasksPerStep) {
            recordViolation("completed too early", job + " with " + recorded.done.size() + " tasks done");
        }
        if (state.equals("failed")) {
            recordViolation("reported as failed", job);
        }
        if (state.equals("cancelled") && !recorded.cancelling) {
            recordViolation("reported as cancelled", job);
        }
    }

    /** Returns the accepted jobs for which no cancellation was requested; each has to complete. */
    synchronized List<String> jobsToComplete() {
        return jobs.entrySet().stream()
                .filter(entry -> entry.getValue().accepted && !entry.getValue().cancelling)
                .map(Map.Entry::getKey)
                .toList();
    }

    synchronized void recordViolation(String invariant, String details) {
        violations.add(invariant + ": " + details + " at " + clock.nowMs());
    }

    /** Returns all violations, including those that can be detected only at the end of a run. */
    synchronized List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        jobs.forEach((name, job) -> {
            if (job.started && !job.accepted && job.refusals == job.attempts) {
                all.add("ran though rejected: " + name);
            }
        });
        return all;
    }

    synchronized long starts() {
        return starts;
    }

    synchronized int accepted() {
        return (int) jobs.values().stream().filter(job -> job.accepted).count();
    }

    @Override
    public synchronized void started(String worker, String name, int run) {
        starts++;
        Task task = tasks.computeIfAbsent(name, key -> new Task());
        if (!task.activeRuns.isEmpty()) {
            recordViolation("runs twice", name + " run " + run + " on " + worker + " beside " + task.activeRuns);
        }
        if (task.acknowledged) {
            recordViolation("runs again", name + " run " + run + " on " + worker + " after an acknowledged end");
        }
        task.activeRuns.add(worker + "/" + run);
        if (used.merge(worker, cpuMillis, Integer::sum) > capacityMillis) {
            recordViolation("exceeds the capacity", name + " run " + run + " on " + worker);
        }
        String[] parts = name.split("\\.");
        Job job = jobs.get(parts[0]);
        if (job == null) {
            recordViolation("runs without a submission", name);
            return;
        }
        job.started = true;
        if (parts[2].equals("1") && job.firstStepDone() < job.tasksPerStep) {
            recordViolation(
                    "starts too early", name + " with " + job.firstStepDone() + " tasks of the previous step done");
        }
        if (job.cancelledAtMs > 0 && clock.nowMs() - job.cancelledAtMs > CANCEL_LIMIT_MS) {
            recordViolation("starts after a cancellation", name);
        }
    }

    @Override
    public synchronized void ended(String worker, String name, int run, String kind) {
        tasks.get(name).activeRuns.remove(worker + "/" + run);
        used.merge(worker, -cpuMillis, Integer::sum);
        String[] parts = name.split("\\.");
        Job job = jobs.get(parts[0]);
        if (kind.equals("done") && job != null) {
            job.done.add(parts[2] + "." + parts[3]);
        }
    }

    @Override
    public synchronized void acknowledged(String worker, String name, int run, String kind) {
        if (kind.equals("done")) {
            tasks.get(name).acknowledged = true;
        }
    }

    private static final class Job {
        private final int tasksPerStep;
        private final Set<String> done = new HashSet<>();
        private int attempts;
        private int refusals;
        private boolean accepted;
        private boolean started;
        private boolean cancelling;
        private long cancelledAtMs;

        private Job(int tasksPerStep) {
            this.tasksPerStep = tasksPerStep;
        }

        private long firstStepDone() {
            return done.stream().filter(task -> task.startsWith("0.")).count();
        }
    }

    private static final class Task {
        private final Set<String> activeRuns = new HashSet<>();
        private boolean acknowledged;
    }
}
