package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.StopOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops the runs of ended jobs, runs whose start was not confirmed, and gangs that cannot become complete. */
final class StopSystem {
    private static final Logger LOG = LoggerFactory.getLogger(StopSystem.class);
    private static final long RETRY_MS = 300;

    /** The members of a completed gang end without a stop order, and workers report ends within milliseconds. */
    private static final long GANG_END_GRACE_MS = 1_000;

    private final Tables tables;

    StopSystem(Tables tables) {
        this.tables = tables;
    }

    void answered(RunRow run, StopOutcome outcome) {
        run.stopInFlight = false;
        if (outcome == StopOutcome.STOPPED) {
            run.stopAnsweredAtMs = Math.min(run.stopAnsweredAtMs, tables.nowMs + tables.limits.stopMs());
            run.worker.nextRenewalAtMs = Math.min(run.worker.nextRenewalAtMs, tables.nowMs);
            if (run.phase != RunPhase.RUNNING) {
                // no end will be listed for a run that has not arrived, so only a new report proves that it is absent
                run.worker.probeAtMs = Math.min(run.worker.probeAtMs, run.stopAnsweredAtMs + 1);
            }
        } else {
            run.stopRetryAtMs = tables.nowMs + RETRY_MS;
        }
    }

    void run(List<Effect> effects) {
        effects.addAll(tables.orphanStops);
        tables.orphanStops.clear();
        for (WorkerRow worker : tables.workers.values()) {
            for (RunRow run : worker.runs.values()) {
                if (obsolete(run)) {
                    run.stop("job ended or task done");
                }
                if (stopDue(run)) {
                    run.stopInFlight = true;
                    LOG.info(
                            "stop task={} run={} worker={} reason={}",
                            run.task.name,
                            run.number,
                            worker.id,
                            run.stopReason());
                    effects.add(new Effect.Stop(worker.id, worker.address(), run.task.name, run.number));
                }
            }
        }
    }

    /** Requests stops of all members of a gang that cannot become complete. */
    static void stopGang(StepRow step) {
        for (TaskRow member : step.tasks) {
            member.run().ifPresent(run -> run.stop("gang is incomplete"));
        }
    }

    private boolean stopDue(RunRow run) {
        return run.stopRequested()
                && run.phase != RunPhase.CLAIMED
                && !run.stopInFlight
                && run.stopAnsweredAtMs == Long.MAX_VALUE
                && tables.nowMs >= run.stopRetryAtMs;
    }

    private boolean obsolete(RunRow run) {
        StepRow step = run.task.step;
        if (run.task.done && step.spec.gang()) {
            return tables.nowMs - step.doneAtMs > GANG_END_GRACE_MS;
        }
        return run.task.done || !step.job.active();
    }
}
