package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.WorkerEntry;

/**
 * The room that the leader's accounts show on registered workers that answer.
 *
 * <p>It knows capacity alone: a worker counts also where advice denies it, or where the leader believes that it must not
 * be used, so that such a belief shows if it is wrong. Workers that leave or whose domain is out of service do not count.
 * The workers are looked through for a bounded number of sizes, whatever number of steps wait.
 */
final class FleetRoom {
    /** How often the workers are looked through at most; steps of further sizes count as without room. */
    static final int MAX_SCANS = 64;

    /** The contract owes a start where there is capacity for it twice over. */
    private static final int TIMES = 2;

    private final Tables tables;
    private final Map<Selector, Candidates> candidates = new HashMap<>();
    private final Map<Question, Boolean> answers = new HashMap<>();
    private int scans;

    private FleetRoom(Tables tables) {
        this.tables = tables;
    }

    static FleetRoom of(Tables tables) {
        return new FleetRoom(tables);
    }

    /** Returns whether there is room twice over for a task of a step, or for all that wait of a gang. */
    boolean hasTwice(StepRow step) {
        Selector selector = new Selector(step.job.service(), step.spec.label());
        if (!candidates.containsKey(selector)) {
            if (scans >= MAX_SCANS) {
                return false;
            }
            candidates.put(selector, Candidates.of(answering(selector)));
        }
        Candidates found = candidates.get(selector);
        if (found.knownNotToFit(step.spec.each())) {
            return false;
        }
        int tasks = TIMES * (step.spec.gang() ? step.waitingTasks().size() : 1);
        // the room on each worker also depends on the step where its tasks are to be apart
        Question question = new Question(selector, step.spec.each(), tasks);
        if (step.spec.maxPerWorker() == 0 && answers.containsKey(question)) {
            return answers.get(question);
        }
        if (scans >= MAX_SCANS) {
            return false;
        }
        boolean fits = fits(step, found, tasks);
        if (step.spec.maxPerWorker() == 0) {
            answers.put(question, fits);
        }
        return fits;
    }

    /** Returns how often the workers were looked through. */
    int scans() {
        return scans;
    }

    private boolean fits(StepRow step, Candidates found, int tasks) {
        scans++;
        if (!found.anyFits(step.spec.each())) {
            return false;
        }
        long vacancies = 0;
        for (FreeCapacity capacity : found.capacities()) {
            vacancies += Math.max(0, Placement.vacancies(step, capacity));
            if (vacancies >= tasks) {
                return true;
            }
        }
        return false;
    }

    private List<FreeCapacity> answering(Selector selector) {
        scans++;
        List<FreeCapacity> answering = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            boolean counts = worker.registered
                    && worker.answers()
                    && worker.entry().filter(entry -> counts(entry, selector)).isPresent();
            if (counts) {
                answering.add(FreeCapacity.of(worker));
            }
        }
        return answering;
    }

    private boolean counts(WorkerEntry entry, Selector selector) {
        return entry.service().equals(selector.service)
                && (selector.label.isEmpty() || entry.labels().contains(selector.label))
                && !entry.draining()
                && !tables.evacuatedDomains.contains(entry.domain());
    }

    private record Selector(String service, String label) {}

    private record Question(Selector selector, Resources each, int tasks) {}
}
