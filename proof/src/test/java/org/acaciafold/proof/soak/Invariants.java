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
 * Checks what is promised, from what workers and consumers see alone.
 *
 * <p>A task never runs twice at a time and never again after an acknowledged end; no worker is asked for more than its
 * room; a step starts after the one before it; nothing runs of a job that was refused, or long after it was cancelled; a
 * job is told completed only when its tasks are, and never failed, since no task fails more than once.
 */
final class Invariants implements RunListener {
    /** Orders that are held up on the way are carried out this long after a cancellation at most. */
    private static final long CANCEL_LIMIT_MS = 12_000;

    private static final int OK = 200;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final Clock clock;
    private final int cpuMillis;
    private final int roomMillis;
    private final Map<String, Job> jobs = new TreeMap<>();
    private final Map<String, Task> tasks = new HashMap<>();
    private final Map<String, Integer> used = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private long starts;

    Invariants(Clock clock, int cpuMillis, int roomMillis) {
        this.clock = clock;
        this.cpuMillis = cpuMillis;
        this.roomMillis = roomMillis;
    }

    synchronized void submitted(String job, int tasksAStep) {
        jobs.computeIfAbsent(job, name -> new Job(tasksAStep)).attempts++;
    }

    /** Notes an answer to a submission; 0 stands for none. */
    synchronized void answered(String job, int status) {
        Job known = jobs.get(job);
        if (status == OK) {
            known.accepted = true;
        } else if (status == TOO_MANY || status == UNAVAILABLE) {
            known.refusals++;
        }
    }

    synchronized void cancelled(String job) {
        jobs.get(job).cancelledAtMs = clock.nowMs();
    }

    synchronized void cancelling(String job) {
        jobs.get(job).cancelling = true;
    }

    /** Notes a state that a consumer was told. */
    synchronized void told(String job, String state) {
        Job known = jobs.get(job);
        if (state.equals("completed") && known.done.size() < 2 * known.tasksAStep) {
            broken("completed too early", job + " with " + known.done.size() + " tasks done");
        }
        if (state.equals("failed")) {
            broken("shown as failed", job);
        }
        if (state.equals("cancelled") && !known.cancelling) {
            broken("shown as cancelled", job);
        }
    }

    /** Returns the jobs that were accepted and that nobody asked to cancel. */
    synchronized List<String> owed() {
        return jobs.entrySet().stream()
                .filter(entry -> entry.getValue().accepted && !entry.getValue().cancelling)
                .map(Map.Entry::getKey)
                .toList();
    }

    synchronized void broken(String promise, String what) {
        broken.add(promise + ": " + what + " at " + clock.nowMs());
    }

    /** Returns what was broken, with what can be told only at the end. */
    synchronized List<String> broken() {
        List<String> all = new ArrayList<>(broken);
        jobs.forEach((name, job) -> {
            if (job.started && !job.accepted && job.refusals == job.attempts) {
                all.add("ran though refused: " + name);
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
        if (!task.alive.isEmpty()) {
            broken("runs twice", name + " run " + run + " on " + worker + " beside " + task.alive);
        }
        if (task.acknowledged) {
            broken("runs again", name + " run " + run + " on " + worker + " after an acknowledged end");
        }
        task.alive.add(worker + "/" + run);
        if (used.merge(worker, cpuMillis, Integer::sum) > roomMillis) {
            broken("more than the room", name + " run " + run + " on " + worker);
        }
        String[] parts = name.split("\\.");
        Job job = jobs.get(parts[0]);
        if (job == null) {
            broken("runs unasked", name);
            return;
        }
        job.started = true;
        if (parts[2].equals("1") && job.firstStepDone() < job.tasksAStep) {
            broken("starts too early", name + " with " + job.firstStepDone() + " tasks before it done");
        }
        if (job.cancelledAtMs > 0 && clock.nowMs() - job.cancelledAtMs > CANCEL_LIMIT_MS) {
            broken("starts after a cancellation", name);
        }
    }

    @Override
    public synchronized void ended(String worker, String name, int run, String how) {
        tasks.get(name).alive.remove(worker + "/" + run);
        used.merge(worker, -cpuMillis, Integer::sum);
        String[] parts = name.split("\\.");
        Job job = jobs.get(parts[0]);
        if (how.equals("done") && job != null) {
            job.done.add(parts[2] + "." + parts[3]);
        }
    }

    @Override
    public synchronized void acknowledged(String worker, String name, int run, String how) {
        if (how.equals("done")) {
            tasks.get(name).acknowledged = true;
        }
    }

    private static final class Job {
        private final int tasksAStep;
        private final Set<String> done = new HashSet<>();
        private int attempts;
        private int refusals;
        private boolean accepted;
        private boolean started;
        private boolean cancelling;
        private long cancelledAtMs;

        private Job(int tasksAStep) {
            this.tasksAStep = tasksAStep;
        }

        private long firstStepDone() {
            return done.stream().filter(task -> task.startsWith("0.")).count();
        }
    }

    private static final class Task {
        private final Set<String> alive = new HashSet<>();
        private boolean acknowledged;
    }
}
