package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tells operators what the scheduler of a term believes of jobs that wait; it changes nothing.
 *
 * <pre>{@code
 * Diagnosis diagnosis = Diagnosis.of(scheduler);
 * diagnosis.explain("job-1").ifPresent(lines -> lines.forEach(System.out::println));
 * }</pre>
 */
public final class Diagnosis {
    /** The contract owes a start within this time where there is room. */
    private static final long MAX_STAND_MS = 3_000;

    /** The contract owes a task that lasts a run within this time after its last one. */
    private static final long MAX_AWAY_MS = 9_000;

    private final Tables tables;

    private Diagnosis(Tables tables) {
        this.tables = tables;
    }

    /**
     * Returns the diagnosis of a scheduler, as of its present time.
     *
     * @param scheduler the scheduler
     * @return the diagnosis
     */
    public static Diagnosis of(Scheduler scheduler) {
        return new Diagnosis(scheduler.tables);
    }

    /**
     * Returns what is known of a job: its steps, what they wait for, and why the workers that fit them are not used.
     *
     * @param job the job
     * @return some lines of names and values, a bounded number; empty when the job is not known
     */
    public Optional<List<String>> explain(String job) {
        if (tables.jobs.containsKey(job)) {
            return Optional.of(JobExplanation.of(tables.jobs.get(job), tables));
        }
        return Optional.ofNullable(tables.endedJobs.get(job))
                .map(ended -> List.of("job ended job=" + job + " state=" + ended.state()));
    }

    /**
     * Counts the ready steps of which a task has waited for longer than the contract allows, although registered workers
     * that answer have room for it twice over. Capacity alone counts, since the reason why they are not used may be wrong.
     *
     * @return the number of steps by the reason why they wait
     */
    public Map<String, Integer> standing() {
        FleetRoom room = FleetRoom.of(tables);
        Map<String, Integer> counts = new TreeMap<>();
        for (StepRow step : waitingTooLong()) {
            if (room.hasTwice(step)) {
                counts.merge(step.waitReason.name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Counts the tasks that last and have been away for longer than the contract allows: their workers have not answered
     * since, and their runs are held until the leases there have expired. A worker that this leader has never reached counts
     * from the beginning of its term.
     *
     * @return the number of tasks by the lease that holds them
     */
    public Map<String, Integer> away() {
        Map<String, Integer> counts = new TreeMap<>();
        for (WorkerRow worker : tables.workers.values()) {
            for (RunRow run : worker.runs.values()) {
                long lastSeenAtMs = Math.max(worker.lastContactAtMs, run.sinceMs());
                boolean lasts = run.task.step.spec.longRunning() && run.task.step.job.active();
                if (worker.silent() && lasts && tables.nowMs - lastSeenAtMs > MAX_AWAY_MS) {
                    counts.merge(LeaseBound.of(worker, tables.nowMs).name(), 1, Integer::sum);
                }
            }
        }
        return counts;
    }

    private List<StepRow> waitingTooLong() {
        List<StepRow> found = new ArrayList<>();
        for (JobRow job : tables.active) {
            if (!job.active()) {
                continue;
            }
            for (StepRow step : job.steps) {
                boolean waited = step.waitingSinceMs >= 0 && tables.nowMs - step.waitingSinceMs > MAX_STAND_MS;
                if (waited && step.hasWaitingTasks() && step.ready()) {
                    found.add(step);
                }
            }
        }
        found.sort(Comparator.comparingLong(step -> step.waitingSinceMs));
        return found;
    }
}
