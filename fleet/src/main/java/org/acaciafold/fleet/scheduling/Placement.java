package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.WorkerEntry;

/**
 * Selects workers for tasks within the capacity that is still free in a tick.
 *
 * <p>Steps with the same worker selector share one list of candidates, and a size that fits nowhere is not searched for
 * again in the same tick, so that the cost of a tick depends on the tasks that can start and not on those that wait.
 */
final class Placement {
    /** Prefers workers with little free CPU, to keep large free capacity for large gangs. */
    private static final Comparator<FreeCapacity> LEAST_FREE_FIRST =
            Comparator.comparingLong(FreeCapacity::cpuMillis).thenComparing(capacity -> capacity.worker.id);

    private static final Comparator<FreeCapacity> ON_TRIAL_LAST =
            Comparator.comparing(capacity -> capacity.worker.onTrial);

    /**
     * How long a task that may crash its worker waits for one without such tasks of other jobs; the contract allows no
     * task to wait longer than 3 s while capacity is free.
     */
    private static final long MAX_APART_WAIT_MS = 2_000;

    private final List<FreeCapacity> capacities = new ArrayList<>();
    private final Map<String, FreeCapacity> byWorker = new HashMap<>();
    private final Map<WorkerSelector, Candidates> candidatesBySelector = new HashMap<>();
    private final long nowMs;
    private int searches;

    /**
     * Creates the placement of a tick.
     *
     * @param workers the registered workers that are eligible to start tasks
     * @param nowMs the time of the tick
     */
    Placement(Collection<WorkerRow> workers, long nowMs) {
        this.nowMs = nowMs;
        for (WorkerRow worker : workers) {
            FreeCapacity capacity = FreeCapacity.of(worker);
            capacities.add(capacity);
            byWorker.put(worker.id, capacity);
        }
    }

    /** Returns the free capacity of a worker, if it may start tasks of a step. */
    Optional<FreeCapacity> freeCapacity(StepRow step, String worker) {
        return Optional.ofNullable(byWorker.get(worker))
                .filter(capacity -> selector(step).matches(capacity.entry));
    }

    /** Returns how often a list of workers was scanned. */
    int searches() {
        return searches;
    }

    /** Returns the workers of a step's service that have the label it requires. */
    List<FreeCapacity> candidates(StepRow step) {
        searches++;
        return matchingCandidates(step).capacities();
    }

    /** Returns the workers that a step may use now: those that advice allows, or all candidates without advice. */
    List<FreeCapacity> usable(StepRow step) {
        if (step.job.advice().isEmpty()) {
            return matchingCandidates(step).capacities();
        }
        List<FreeCapacity> found = new ArrayList<>();
        for (String worker : step.allowed.keySet()) {
            freeCapacity(step, worker)
                    .filter(capacity -> step.allows(capacity.worker))
                    .ifPresent(found::add);
        }
        return found;
    }

    /** Returns whether any candidate has free capacity for one task of a step. */
    boolean fitsAnywhere(StepRow step) {
        Resources each = step.spec.each();
        Candidates candidates = matchingCandidates(step);
        if (candidates.knownNotToFit(each)) {
            return false;
        }
        searches++;
        return candidates.anyFits(each);
    }

    /**
     * Selects workers for as many tasks of a step as fit; for a gang, for all tasks or none.
     *
     * @param tasks the tasks, in order
     * @param candidates the workers that may run them
     * @return the selected workers by task; their capacity is not reserved yet
     */
    Map<TaskRow, FreeCapacity> choose(List<TaskRow> tasks, List<FreeCapacity> candidates) {
        if (tasks.isEmpty() || candidates.isEmpty()) {
            return Map.of();
        }
        StepRow step = tasks.getFirst().step;
        if (!step.spec.gang()) {
            return chooseBestFit(tasks, candidates);
        }
        List<FreeCapacity> notOnTrial =
                candidates.stream().filter(capacity -> !capacity.worker.onTrial).toList();
        Map<TaskRow, FreeCapacity> chosen = hasCapacityFor(step, notOnTrial, tasks.size())
                ? chooseForGang(tasks, notOnTrial)
                : chooseForGang(tasks, candidates);
        return chosen.size() == tasks.size() ? chosen : Map.of();
    }

    private Map<TaskRow, FreeCapacity> chooseForGang(List<TaskRow> tasks, List<FreeCapacity> candidates) {
        StepRow step = tasks.getFirst().step;
        if (!hasCapacityFor(step, candidates, tasks.size())) {
            return Map.of();
        }
        Optional<Map<TaskRow, FreeCapacity>> inOneRack =
                step.spec.sameRack() ? chooseInOneGroup(tasks, candidates, WorkerEntry::rack) : Optional.empty();
        // a gang that spans failure domains fails when any of them becomes unreachable, so one domain is preferred
        return inOneRack
                .or(() -> chooseInOneGroup(tasks, candidates, WorkerEntry::domain))
                .or(() -> chooseAll(tasks, candidates))
                .orElse(Map.of());
    }

    /** Returns workers in the order of preference of a step. */
    List<FreeCapacity> orderByPreference(StepRow step, List<FreeCapacity> unordered) {
        searches++;
        List<FreeCapacity> ordered = new ArrayList<>(unordered);
        ordered.sort(ON_TRIAL_LAST
                .thenComparing(strayLeasesLast(step))
                .thenComparing(sameRackFirst(step))
                .thenComparing(LEAST_FREE_FIRST));
        return ordered;
    }

    /** Returns how many tasks of a step could run on a worker once all runs there have ended that end by themselves. */
    static int vacanciesWhenReleased(StepRow step, FreeCapacity capacity) {
        return capAtMaxPerWorker(step, capacity.maxTasksWhenReleased(step.spec.each()));
    }

    private static boolean hasCapacityFor(StepRow step, List<FreeCapacity> candidates, int tasks) {
        long fits = 0;
        for (FreeCapacity capacity : candidates) {
            fits += vacancies(step, capacity);
        }
        return fits >= tasks;
    }

    /** Selects workers for all tasks in one group of workers, the one with the least free CPU that fits them. */
    private Optional<Map<TaskRow, FreeCapacity>> chooseInOneGroup(
            List<TaskRow> tasks, List<FreeCapacity> candidates, Function<WorkerEntry, String> group) {
        Map<String, List<FreeCapacity>> groups = new TreeMap<>();
        for (FreeCapacity capacity : candidates) {
            groups.computeIfAbsent(group.apply(capacity.entry), key -> new ArrayList<>())
                    .add(capacity);
        }
        List<List<FreeCapacity>> ordered = new ArrayList<>(groups.values());
        ordered.sort(Comparator.comparingLong(
                members -> members.stream().mapToLong(FreeCapacity::cpuMillis).sum()));
        for (List<FreeCapacity> members : ordered) {
            if (hasCapacityFor(tasks.getFirst().step, members, tasks.size())) {
                Optional<Map<TaskRow, FreeCapacity>> chosen = chooseAll(tasks, members);
                if (chosen.isPresent()) {
                    return chosen;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Map<TaskRow, FreeCapacity>> chooseAll(List<TaskRow> tasks, List<FreeCapacity> candidates) {
        return Optional.of(chooseBestFit(tasks, candidates)).filter(chosen -> chosen.size() == tasks.size());
    }

    private Map<TaskRow, FreeCapacity> chooseBestFit(List<TaskRow> tasks, List<FreeCapacity> candidates) {
        StepRow step = tasks.getFirst().step;
        List<Vacancy> vacancies = new ArrayList<>();
        for (FreeCapacity capacity : candidates) {
            int fits = vacancies(step, capacity);
            if (fits > 0) {
                vacancies.add(new Vacancy(capacity, fits));
            }
        }
        Optional<String> home = HomeDomain.of(step, tasks.size(), candidates);
        Comparator<FreeCapacity> homeFirst = Comparator.comparing(
                capacity -> home.filter(capacity.entry.domain()::equals).isEmpty());
        vacancies.sort(Comparator.comparing(
                vacancy -> vacancy.capacity,
                ON_TRIAL_LAST
                        .thenComparing(strayLeasesLast(step))
                        .thenComparing(sameRackFirst(step))
                        .thenComparing(capacity -> capacity.worker.trialUntilMs > nowMs)
                        .thenComparing(homeFirst)
                        .thenComparing(LEAST_FREE_FIRST)));
        Map<TaskRow, FreeCapacity> chosen = new LinkedHashMap<>();
        for (TaskRow task : tasks) {
            Optional<Vacancy> selected =
                    task.suspect() ? selectForSuspect(task, vacancies) : selectVacancy(task, vacancies);
            selected.ifPresent(vacancy -> {
                chosen.put(task, vacancy.capacity);
                vacancy.remaining--;
            });
        }
        return chosen;
    }

    /** Orders those workers last whose loss would keep a task that lasts away for longer than the loss of others. */
    private Comparator<FreeCapacity> strayLeasesLast(StepRow step) {
        return Comparator.comparing(
                capacity -> step.spec.longRunning() && capacity.worker.strayLeasesEndAtMs() > nowMs);
    }

    /** Orders the workers on the rack of the step's data before others. */
    private static Comparator<FreeCapacity> sameRackFirst(StepRow step) {
        String rack = step.spec.rack();
        return Comparator.comparing(
                capacity -> !rack.isEmpty() && !capacity.entry.rack().equals(rack));
    }

    /** Returns the first worker on which the task has not failed; if it failed on all, the first that may take it. */
    private static Optional<Vacancy> selectVacancy(TaskRow task, List<Vacancy> ordered) {
        Vacancy fallback = null;
        for (Vacancy vacancy : ordered) {
            // a duplicate run of the task may still be there
            if (vacancy.remaining <= 0 || vacancy.capacity.worker.runs.containsKey(task.name)) {
                continue;
            }
            if (!task.failedOn.contains(vacancy.capacity.worker.id)) {
                return Optional.of(vacancy);
            }
            fallback = fallback == null ? vacancy : fallback;
        }
        return Optional.ofNullable(fallback);
    }

    /**
     * Returns the worker on which a crash would do the least harm and would tell whether it is due to the job: one
     * without suspects of other jobs. A task that has waited for such a worker shares one with them.
     */
    private Optional<Vacancy> selectForSuspect(TaskRow task, List<Vacancy> vacancies) {
        JobRow job = task.step.job;
        long waitingSinceMs = task.step.waitingSinceMs;
        boolean mayShare = waitingSinceMs >= 0 && nowMs - waitingSinceMs >= MAX_APART_WAIT_MS;
        Predicate<Vacancy> shared = vacancy -> vacancy.capacity.worker.triesSuspectOfOtherJob(job, nowMs);
        return vacancies.stream()
                .filter(vacancy -> vacancy.remaining > 0)
                .filter(vacancy -> !vacancy.capacity.worker.runs.containsKey(task.name))
                .filter(vacancy -> mayShare || !shared.test(vacancy))
                .min(Comparator.comparing(shared::test)
                        .thenComparing(vacancy -> task.failedOn.contains(vacancy.capacity.worker.id))
                        .thenComparing(vacancy -> vacancy.capacity.worker.onTrial)
                        .thenComparingLong(vacancy -> vacancy.capacity.worker.used.cpuMillis()));
    }

    /** Returns how many more tasks of a step may start on a worker. */
    static int vacancies(StepRow step, FreeCapacity capacity) {
        int fits = capacity.maxTasks(step.spec.each());
        return step.spec.maxPerWorker() == 0 || fits == 0
                ? fits
                : Math.min(fits, step.spec.maxPerWorker() - countRuns(step, capacity.worker));
    }

    private static int countRuns(StepRow step, WorkerRow worker) {
        int count = 0;
        for (RunRow run : worker.runs.values()) {
            count += run.task.step == step ? 1 : 0;
        }
        return count;
    }

    private static int capAtMaxPerWorker(StepRow step, int count) {
        return step.spec.maxPerWorker() > 0 ? Math.min(count, step.spec.maxPerWorker()) : count;
    }

    private Candidates matchingCandidates(StepRow step) {
        return candidatesBySelector.computeIfAbsent(selector(step), selector -> {
            searches++;
            return Candidates.of(capacities.stream()
                    .filter(capacity -> selector.matches(capacity.entry))
                    .toList());
        });
    }

    private static WorkerSelector selector(StepRow step) {
        return new WorkerSelector(step.job.service(), step.spec.label());
    }

    /** Selects workers by the properties that they register; advice may restrict them further. */
    private record WorkerSelector(String service, String label) {
        private boolean matches(WorkerEntry worker) {
            return worker.service().equals(service)
                    && (label.isEmpty() || worker.labels().contains(label));
        }
    }

    /** A worker and the number of tasks that still fit on it. */
    private static final class Vacancy {
        private final FreeCapacity capacity;
        private int remaining;

        private Vacancy(FreeCapacity capacity, int remaining) {
            this.capacity = capacity;
            this.remaining = remaining;
        }
    }
}
