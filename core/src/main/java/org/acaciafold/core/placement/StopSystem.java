package org.acaciafold.core.placement;

import org.acaciafold.core.port.StopMode;

/** Stops duplicate attempts and the tasks of cancelled jobs, of leaving workers and of a closed failure domain. */
final class StopSystem {
    private static final int MOVES_PER_TICK = 256;

    private final Tables tables;

    StopSystem(Tables tables) {
        this.tables = tables;
    }

    void run(Tick tick) {
        while (!tables.obsoleteAttempts.isEmpty()) {
            stopObsolete(tick, tables.obsoleteAttempts.poll());
        }
        while (!tables.jobsToStop.isEmpty()) {
            stopJob(tick, tables.jobsToStop.poll());
        }
        tables.partialGangs.forEach(job -> stopPartialGang(tick, job));
        tables.partialGangs.clear();
        drainWorkers(tick);
    }

    private void stopObsolete(Tick tick, AttemptRow attempt) {
        if (attempt.worker.attempts.contains(attempt)) {
            tick.stop(
                    attempt,
                    attempt.current() ? gracefulMode(attempt.task.job) : StopMode.KILL,
                    "the attempt is obsolete");
        }
    }

    private void stopJob(Tick tick, JobRow job) {
        StopMode mode = job.service() ? StopMode.DRAIN : StopMode.KILL;
        stopCurrent(tick, job, mode, job.problem.orElse("cancelled"));
    }

    /** Stops the running tasks of a gang if others of its tasks do not run. */
    private void stopPartialGang(Tick tick, JobRow job) {
        if (job.submitted && job.waiting > 0 && job.running > 0) {
            stopCurrent(tick, job, StopMode.CHECKPOINT, "another task of the job does not run");
        }
    }

    private static void stopCurrent(Tick tick, JobRow job, StopMode mode, String reason) {
        for (TaskRow task : job.tasks.values()) {
            if (task.current != null) {
                tick.stop(task.current, mode, reason);
            }
        }
    }

    private void drainWorkers(Tick tick) {
        int moves = 0;
        while (moves < MOVES_PER_TICK && !tables.draining.isEmpty()) {
            WorkerRow worker = tables.draining.peek();
            if (tables.open && worker.state != WorkerState.LEAVING) {
                tables.draining.poll();
                continue;
            }
            moves += stopAll(tick, worker);
            tables.draining.poll();
        }
    }

    private int stopAll(Tick tick, WorkerRow worker) {
        String reason = tables.open ? "the worker is leaving" : "the failure domain is out of service";
        for (AttemptRow attempt : worker.attempts) {
            tick.stop(attempt, gracefulMode(attempt.task.job), reason);
        }
        return worker.attempts.size();
    }

    /** Returns the mode in which a task is stopped if its job continues elsewhere. */
    static StopMode gracefulMode(JobRow job) {
        return job.service() ? StopMode.DRAIN : StopMode.CHECKPOINT;
    }
}
