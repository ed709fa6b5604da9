package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.TaskName;

/** Judges by what workers and consumers have seen, and by nothing else. */
final class Oracle {
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<TaskName, String> running = new HashMap<>();
    private final Map<TaskName, Integer> failuresNoted = new HashMap<>();
    private final Set<TaskName> done = new HashSet<>();
    private final Set<TaskName> doneNoted = new HashSet<>();
    private final Set<TaskName> poison = new HashSet<>();
    private final Random random;
    final List<String> broken = new ArrayList<>();

    Oracle(Random random) {
        this.random = random;
    }

    void submitted(Job job) {
        jobs.put(job.id(), job);
    }

    void check(boolean holds, String what) {
        if (!holds) {
            broken.add(what);
        }
    }

    boolean fails(TaskName task) {
        return poison.contains(task) || random.nextInt(30) == 0;
    }

    void poison(TaskName task) {
        poison.add(task);
    }

    Resources starts(TaskName task, int run, String worker) {
        Job job = jobs.get(task.job());
        check(job != null, "UNASKED: " + task);
        check(
                !running.containsKey(task),
                "TWICE: " + task + " run " + run + " on " + worker + " and " + running.get(task));
        check(!doneNoted.contains(task), "TWICE: " + task + " run " + run + " after its end was taken note of");
        int attempts = job.route().maxAttempts();
        check(failuresNoted.getOrDefault(task, 0) < attempts, "BUDGET: " + task + " run " + run);
        for (int before : job.steps().get(task.step()).after()) {
            for (int i = 0; i < job.steps().get(before).count(); i++) {
                TaskName earlier = new TaskName(task.job(), 0, before, i);
                check(done.contains(earlier), "ORDER: " + task + " before " + earlier);
            }
        }
        running.put(task, worker);
        return job.steps().get(task.step()).each();
    }

    void gone(TaskName task, String worker) {
        running.remove(task, worker);
    }

    void ended(TaskName task, EndKind kind, String worker) {
        gone(task, worker);
        if (kind == EndKind.DONE) {
            done.add(task);
        }
    }

    void noted(RunEnd end) {
        if (end.kind() == EndKind.DONE) {
            doneNoted.add(end.task());
        } else if (end.kind() == EndKind.FAILED) {
            failuresNoted.merge(end.task(), 1, Integer::sum);
        }
    }

    void published(Map<String, JobState> states) {
        states.forEach((id, state) -> {
            Job job = jobs.get(id);
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
