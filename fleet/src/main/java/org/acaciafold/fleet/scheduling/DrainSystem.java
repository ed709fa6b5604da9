package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.WorkerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops tasks that last on workers that are about to leave, once another worker has capacity for them.
 *
 * <p>A task that is still there when its worker leaves can start elsewhere only when the worker's lease has run out. A
 * stopped task is started again as after any other stop.
 */
final class DrainSystem {
    private static final Logger LOG = LoggerFactory.getLogger(DrainSystem.class);

    /** Bounds the cost of a tick and how many tasks are away at once; others follow when these have ended. */
    private static final int MAX_RUNS = 16;

    /** Runs come first whose stop is requested, since capacity has to stay free for them. */
    private static final Comparator<RunRow> STOPPING_FIRST = Comparator.comparing((RunRow run) -> !run.stopRequested())
            .thenComparing(run -> run.task.step.job.job.id())
            .thenComparing(run -> run.task.step.index)
            .thenComparing(run -> run.task.index);

    private final Tables tables;

    DrainSystem(Tables tables) {
        this.tables = tables;
    }

    /**
     * Requests as many stops as there is capacity for elsewhere.
     *
     * @param placement the placement of this tick, after all ready steps have been placed
     */
    void run(Placement placement) {
        List<RunRow> leaving = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            if (worker.entry().filter(WorkerEntry::draining).isPresent() && reachable(worker)) {
                worker.runs.values().stream().filter(DrainSystem::movable).forEach(leaving::add);
            }
        }
        leaving.sort(STOPPING_FIRST);
        for (RunRow run : leaving.subList(0, Math.min(MAX_RUNS, leaving.size()))) {
            if (reserveElsewhere(run, placement) && !run.stopRequested()) {
                LOG.info("task leaves draining worker task={} worker={}", run.task.name, run.worker.id);
                run.stop("worker is draining");
            }
        }
    }

    private static boolean reachable(WorkerRow worker) {
        return worker.registered && worker.missedRenewals == 0 && !worker.suspect;
    }

    /** A gang is left alone, since its members on other workers would end with it. */
    private static boolean movable(RunRow run) {
        StepRow step = run.task.step;
        return run.phase == RunPhase.RUNNING
                && step.spec.longRunning()
                && !step.spec.gang()
                && step.job.active()
                && run.task.run().filter(run::equals).isPresent();
    }

    private static boolean reserveElsewhere(RunRow run, Placement placement) {
        StepRow step = run.task.step;
        if (!placement.fitsAnywhere(step)) {
            return false;
        }
        Map<TaskRow, FreeCapacity> chosen = placement.choose(List.of(run.task), placement.usable(step));
        chosen.values().forEach(capacity -> capacity.reserve(step.spec.each(), 1));
        return !chosen.isEmpty();
    }
}
