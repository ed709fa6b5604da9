package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.WorkerEntry;

/**
 * The registered workers that fit a task of a step when they are empty, each with the reason why it takes none now.
 *
 * <p>It looks through all workers, so it is made only for the steps that are told of.
 */
final class FittingWorkers {
    private final List<FittingWorker> workers;
    private final int unregistered;
    private final long nowMs;

    private FittingWorkers(List<FittingWorker> workers, int unregistered, long nowMs) {
        this.workers = workers;
        this.unregistered = unregistered;
        this.nowMs = nowMs;
    }

    static FittingWorkers of(StepRow step, Tables tables) {
        List<FittingWorker> found = new ArrayList<>();
        int unregistered = 0;
        for (WorkerRow worker : tables.workers.values()) {
            boolean fits = worker.entry().filter(entry -> fits(step, entry)).isPresent();
            if (fits && worker.registered) {
                found.add(FittingWorker.of(step, worker, tables));
            } else if (fits) {
                unregistered++;
            }
        }
        return new FittingWorkers(found, unregistered, tables.nowMs);
    }

    /** Returns whether a worker is of the step's service, has its label, and fits one of its tasks when empty. */
    static boolean fits(StepRow step, WorkerEntry entry) {
        String label = step.spec.label();
        return entry.service().equals(step.job.service())
                && (label.isEmpty() || entry.labels().contains(label))
                && step.spec.each().fitsIn(entry.capacity());
    }

    /** Returns the number of workers by the reason why they are not used. */
    Map<UnusedReason, Integer> counts() {
        Map<UnusedReason, Integer> counts = new EnumMap<>(UnusedReason.class);
        workers.forEach(worker -> counts.merge(worker.reason(), 1, Integer::sum));
        return counts;
    }

    /** Returns the number of workers that are not eligible by the condition that they do not meet. */
    Map<Ineligibility, Integer> ineligible() {
        Map<Ineligibility, Integer> counts = new EnumMap<>(Ineligibility.class);
        for (FittingWorker worker : workers) {
            worker.ineligibility().ifPresent(condition -> counts.merge(condition, 1, Integer::sum));
        }
        return counts;
    }

    /** Returns the runs on the workers that have no room. */
    HeldRuns runsOnFull() {
        HeldRuns held = HeldRuns.none();
        for (FittingWorker worker : workers) {
            if (worker.reason() == UnusedReason.NO_ROOM) {
                held = held.plus(HeldRuns.of(worker.worker().runs.values(), nowMs));
            }
        }
        return held;
    }

    /** Returns some of the workers, those with room first, since these are kept out by what the leader believes. */
    List<FittingWorker> first(int count) {
        return workers.stream()
                .sorted(Comparator.comparing((FittingWorker worker) -> worker.vacancies() == 0)
                        .thenComparing(FittingWorker::reason))
                .limit(count)
                .toList();
    }

    /** Returns how many workers fit, and the numbers and ages that tell why they are not used, as a log line has them. */
    String summary() {
        Age oldest = Age.unknown();
        Age newest = Age.unknown();
        int vacantDenied = 0;
        for (FittingWorker worker : workers) {
            if (worker.reason() == UnusedReason.DENIED) {
                oldest = oldest.older(worker.denial());
                newest = newest.younger(worker.denial());
                vacantDenied += worker.vacancies() > 0 ? 1 : 0;
            }
        }
        HeldRuns held = runsOnFull();
        return "fit=" + workers.size() + " unregistered=" + unregistered + " unused=" + counts() + " ineligible="
                + ineligible() + " deniedWithRoom=" + vacantDenied + " denialOldestMs=" + oldest + " denialNewestMs="
                + newest + " fullRuns=" + held.runs() + " fullUnconfirmed=" + held.unconfirmed()
                + " fullUnconfirmedOldestMs=" + held.unconfirmedOldest() + " fullReportOldestMs="
                + held.reportOldest();
    }
}
