package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Selects the workers to request placement advice about for a step: the fewest that most likely fit its tasks.
 *
 * <p>A call takes longer with each worker in it and occupies its host meanwhile, so a request for a short job must not
 * include the whole fleet. The number needed follows from the share of workers that the queue's advice usually allows.
 */
final class AdviceQueryPlanner {
    /** The maximum number of workers in one advice call, set by the platform's contract. */
    static final int MAX_WORKERS = 100;

    /** Standard deviations subtracted from the expected capacity; about one call in forty then allows too little. */
    private static final double SAFETY_STANDARD_DEVIATIONS = 2;

    /** Multiple of the tasks to request capacity for, since other steps may reserve some of it during the call. */
    private static final double CONTENTION_FACTOR = 1.3;

    /** Single tasks sample from this multiple of the workers that they need, so that steps request different ones. */
    private static final int SAMPLE_FACTOR = 3;

    /** Multiple of a gang's size to request capacity for, since the gang should fit into one failure domain. */
    private static final double GANG_CAPACITY_FACTOR = 2;

    /** Multiple of a waiting gang's size that its allowed workers must fit when they are empty. */
    private static final double WAITING_GANG_CAPACITY_FACTOR = 5;

    private AdviceQueryPlanner() {}

    /**
     * Selects workers for single tasks.
     *
     * @param step the step
     * @param tasks how many tasks have no worker yet
     * @param unknown workers that advice has neither allowed nor denied, in order of preference
     * @param allowedShare the share of workers that advice usually allows, above 0
     * @return the workers to request advice about
     */
    static List<FreeCapacity> forTasks(StepRow step, int tasks, List<FreeCapacity> unknown, double allowedShare) {
        ToIntFunction<FreeCapacity> vacancies = capacity -> Math.min(tasks, Placement.vacancies(step, capacity));
        List<FreeCapacity> fitting = new ArrayList<>();
        for (FreeCapacity capacity : unknown) {
            if (vacancies.applyAsInt(capacity) > 0) {
                fitting.add(capacity);
            }
        }
        List<FreeCapacity> pool = homePool(step, tasks, fitting, vacancies, allowedShare);
        int required = requiredWorkers(pool, vacancies, tasks * CONTENTION_FACTOR, allowedShare);
        List<FreeCapacity> selected = new ArrayList<>(pool.subList(0, Math.min(pool.size(), SAMPLE_FACTOR * required)));
        int salt = step.job.job.id().hashCode();
        selected.sort(Comparator.comparingInt(capacity -> HashMixer.mix(salt ^ capacity.worker.id.hashCode())));
        return selected.subList(0, requiredWorkers(selected, vacancies, tasks * CONTENTION_FACTOR, allowedShare));
    }

    /** Returns the workers of the step's home domain if these most likely fit its tasks, otherwise all. */
    private static List<FreeCapacity> homePool(
            StepRow step,
            int tasks,
            List<FreeCapacity> fitting,
            ToIntFunction<FreeCapacity> vacancies,
            double allowedShare) {
        Optional<String> home = HomeDomain.of(step, tasks, fitting);
        List<FreeCapacity> inHome = fitting.stream()
                .filter(capacity -> home.filter(capacity.entry.domain()::equals).isPresent())
                .toList();
        boolean enough = allowedShare * totalVacancies(inHome, vacancies) >= tasks * CONTENTION_FACTOR;
        return enough ? inHome : fitting;
    }

    /**
     * Selects workers for a whole gang, which should run in one rack or failure domain.
     *
     * @param step the step
     * @param unknown workers that advice has neither allowed nor denied
     * @param allowed workers that advice has already allowed
     * @param allowedShare the share of workers that advice usually allows, above 0
     * @param mostIsUsed whether the service has so little free capacity that the gang may wait for allowed workers
     * @return the workers to request advice about; empty when enough workers are allowed to wait for capacity
     */
    static List<FreeCapacity> forGang(
            StepRow step,
            List<FreeCapacity> unknown,
            List<FreeCapacity> allowed,
            double allowedShare,
            boolean mostIsUsed) {
        int tasks = step.spec.count();
        ToIntFunction<FreeCapacity> vacanciesNow = capacity -> Math.min(tasks, Placement.vacancies(step, capacity));
        double needed = tasks * GANG_CAPACITY_FACTOR - totalVacancies(allowed, vacanciesNow);
        if (allowedShare * totalVacancies(unknown, vacanciesNow) >= needed) {
            List<FreeCapacity> grouped = orderByGroup(step, unknown, vacanciesNow);
            List<FreeCapacity> selected =
                    grouped.subList(0, requiredWorkers(grouped, vacanciesNow, needed, allowedShare));
            if (allowedShare * totalVacancies(selected, vacanciesNow) >= needed) {
                return selected;
            }
        }
        // too little capacity is free: request enough workers for the gang to wait for
        ToIntFunction<FreeCapacity> vacanciesWhenReleased =
                capacity -> Math.min(tasks, Placement.vacanciesWhenReleased(step, capacity));
        double missing = tasks * WAITING_GANG_CAPACITY_FACTOR - totalVacancies(allowed, vacanciesWhenReleased);
        int vacant = totalVacancies(allowed, vacanciesNow) + totalVacancies(unknown, vacanciesNow);
        if (missing <= 0 && (mostIsUsed || vacant < tasks)) {
            return List.of();
        }
        List<FreeCapacity> grouped = orderByGroup(step, unknown, vacanciesNow);
        if (missing <= 0) {
            // the gang must not wait for busy workers while it might fit free ones that it has not asked about
            grouped.removeIf(capacity -> vacanciesNow.applyAsInt(capacity) <= 0);
            return grouped.subList(0, requiredWorkers(grouped, vacanciesNow, needed, allowedShare));
        }
        return grouped.subList(0, requiredWorkers(grouped, vacanciesWhenReleased, missing, allowedShare));
    }

    /**
     * Selects allowed workers to renew the tickets of together with those that a gang plans to use, since other tasks may
     * take some of these during the call.
     *
     * @param step the step
     * @param allowed workers that advice has already allowed
     * @return the workers with the most vacancies; they fit the gang as often as a first request would
     */
    static List<FreeCapacity> sparesForGang(StepRow step, List<FreeCapacity> allowed) {
        ToIntFunction<FreeCapacity> vacancies =
                capacity -> Math.min(step.spec.count(), Placement.vacancies(step, capacity));
        List<FreeCapacity> ordered = new ArrayList<>(allowed);
        ordered.removeIf(capacity -> vacancies.applyAsInt(capacity) <= 0);
        ordered.sort(Comparator.comparingInt(capacity -> -vacancies.applyAsInt(capacity)));
        return ordered.subList(0, requiredWorkers(ordered, vacancies, step.spec.count() * GANG_CAPACITY_FACTOR, 1));
    }

    /** Orders workers by the vacancies of their rack or failure domain, most first, then by their own vacancies. */
    private static List<FreeCapacity> orderByGroup(
            StepRow step, List<FreeCapacity> capacities, ToIntFunction<FreeCapacity> vacancies) {
        Map<String, Integer> vacanciesByGroup = new HashMap<>();
        Map<FreeCapacity, Integer> ownVacancies = new HashMap<>();
        for (FreeCapacity capacity : capacities) {
            int fits = vacancies.applyAsInt(capacity);
            ownVacancies.put(capacity, fits);
            vacanciesByGroup.merge(group(step, capacity), fits, Integer::sum);
        }
        List<FreeCapacity> ordered = new ArrayList<>(capacities);
        ordered.sort(Comparator.comparingInt((FreeCapacity capacity) -> -vacanciesByGroup.get(group(step, capacity)))
                .thenComparing(capacity -> group(step, capacity))
                .thenComparingInt(capacity -> -ownVacancies.get(capacity))
                .thenComparingLong(capacity -> -capacity.cpuMillis()));
        return ordered;
    }

    private static String group(StepRow step, FreeCapacity capacity) {
        return step.spec.sameRack() ? capacity.entry.rack() : capacity.entry.domain();
    }

    /** Returns how many of the first workers most likely have the needed vacancies; the maximum if none suffice. */
    private static int requiredWorkers(
            List<FreeCapacity> capacities, ToIntFunction<FreeCapacity> vacancies, double needed, double allowedShare) {
        double mean = 0;
        double variance = 0;
        int count = 0;
        while (count < Math.min(MAX_WORKERS, capacities.size())
                && mean - SAFETY_STANDARD_DEVIATIONS * Math.sqrt(variance) < needed) {
            int fits = vacancies.applyAsInt(capacities.get(count));
            mean += allowedShare * fits;
            variance += allowedShare * (1 - allowedShare) * fits * fits;
            count++;
        }
        return count;
    }

    private static int totalVacancies(List<FreeCapacity> capacities, ToIntFunction<FreeCapacity> vacancies) {
        int sum = 0;
        for (FreeCapacity capacity : capacities) {
            sum += vacancies.applyAsInt(capacity);
        }
        return sum;
    }
}
