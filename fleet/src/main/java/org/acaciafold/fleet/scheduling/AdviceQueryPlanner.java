package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Chooses which workers advice is asked about for a step: as few as most likely hold its tasks.
 *
 * <p>A call takes longer with each worker in it and keeps a host busy meanwhile, so a short job must not ask about the
 * whole fleet. How many are needed follows from the share of workers that the queue's advice usually allows.
 */
final class AdviceQueryPlanner {
    /** The contract's bound of workers in one call for advice. */
    static final int MAX_WORKERS = 100;

    /** Standard deviations by which the expected room is reduced; one call in forty then allows too little. */
    private static final double SURE = 2;

    /** Other steps may take some of the room while the call lasts. */
    private static final double CONTENDED = 1.3;

    /** Single tasks choose among this multiple of the workers that they need, so that steps differ in what they ask. */
    private static final int VARIETY = 3;

    /** A gang looks for this multiple of its room, since it wants all of it in one failure domain. */
    private static final double TOGETHER = 2;

    /** A gang that waits knows workers that, when empty, hold it this many times. */
    private static final double CHOICE_OF_WAITING = 5;

    private AdviceQueryPlanner() {}

    /**
     * Chooses workers for single tasks.
     *
     * @param step the step
     * @param tasks how many tasks have no worker yet
     * @param unknown workers about which nothing is known, in the order in which they are preferred
     * @param share the share of workers that advice usually allows, above 0
     * @return the workers to ask about
     */
    static List<FreeCapacity> forTasks(StepRow step, int tasks, List<FreeCapacity> unknown, double share) {
        ToIntFunction<FreeCapacity> vacancies = capacity -> Math.min(tasks, Placement.vacancies(step, capacity));
        List<FreeCapacity> fitting = new ArrayList<>();
        for (FreeCapacity capacity : unknown) {
            if (vacancies.applyAsInt(capacity) > 0) {
                fitting.add(capacity);
            }
        }
        int enough = enough(fitting, vacancies, tasks * CONTENDED, share);
        List<FreeCapacity> some = new ArrayList<>(fitting.subList(0, Math.min(fitting.size(), VARIETY * enough)));
        int salt = step.job.job.id().hashCode();
        some.sort(Comparator.comparingInt(capacity -> mixed(salt ^ capacity.worker.id.hashCode())));
        return some.subList(0, enough(some, vacancies, tasks * CONTENDED, share));
    }

    /**
     * Chooses workers for a whole gang, which should stay in one group of workers.
     *
     * @param step the step
     * @param unknown workers about which nothing is known
     * @param allowed workers that are allowed already
     * @param share the share of workers that advice usually allows, above 0
     * @return the workers to ask about; none when enough is known to wait for room
     */
    static List<FreeCapacity> forGang(
            StepRow step, List<FreeCapacity> unknown, List<FreeCapacity> allowed, double share) {
        int tasks = step.spec.count();
        ToIntFunction<FreeCapacity> now = capacity -> Math.min(tasks, Placement.vacancies(step, capacity));
        double needed = tasks * TOGETHER - total(allowed, now);
        if (share * total(unknown, now) >= needed) {
            List<FreeCapacity> grouped = byGroup(step, unknown, now);
            List<FreeCapacity> some = grouped.subList(0, enough(grouped, now, needed, share));
            if (share * total(some, now) >= needed) {
                return some;
            }
        }
        // the fleet is full: know enough workers to wait for
        ToIntFunction<FreeCapacity> whenEmpty = capacity -> Math.min(tasks, Placement.capacityFor(step, capacity));
        double missing = tasks * CHOICE_OF_WAITING - total(allowed, whenEmpty);
        if (missing <= 0) {
            return List.of();
        }
        List<FreeCapacity> grouped = byGroup(step, unknown, now);
        return grouped.subList(0, enough(grouped, whenEmpty, missing, share));
    }

    /** Orders workers by the room of their rack or failure domain, the most first, then by their own. */
    private static List<FreeCapacity> byGroup(
            StepRow step, List<FreeCapacity> capacities, ToIntFunction<FreeCapacity> vacancies) {
        Map<String, Integer> byGroup = new HashMap<>();
        Map<FreeCapacity, Integer> own = new HashMap<>();
        for (FreeCapacity capacity : capacities) {
            int fits = vacancies.applyAsInt(capacity);
            own.put(capacity, fits);
            byGroup.merge(group(step, capacity), fits, Integer::sum);
        }
        List<FreeCapacity> ordered = new ArrayList<>(capacities);
        ordered.sort(Comparator.comparingInt((FreeCapacity capacity) -> -byGroup.get(group(step, capacity)))
                .thenComparing(capacity -> group(step, capacity))
                .thenComparingInt(capacity -> -own.get(capacity))
                .thenComparingLong(capacity -> -capacity.cpuMillis()));
        return ordered;
    }

    private static String group(StepRow step, FreeCapacity capacity) {
        return step.spec.sameRack() ? capacity.entry.rack() : capacity.entry.domain();
    }

    /** Returns how many of the first workers most likely have the needed room; all, when none are enough. */
    private static int enough(
            List<FreeCapacity> capacities, ToIntFunction<FreeCapacity> vacancies, double needed, double share) {
        double mean = 0;
        double variance = 0;
        int count = 0;
        while (count < Math.min(MAX_WORKERS, capacities.size()) && mean - SURE * Math.sqrt(variance) < needed) {
            int fits = vacancies.applyAsInt(capacities.get(count));
            mean += share * fits;
            variance += share * (1 - share) * fits * fits;
            count++;
        }
        return count;
    }

    private static int total(List<FreeCapacity> capacities, ToIntFunction<FreeCapacity> vacancies) {
        int sum = 0;
        for (FreeCapacity capacity : capacities) {
            sum += vacancies.applyAsInt(capacity);
        }
        return sum;
    }

    /** Spreads the bits of a hash, as similar identifiers have similar hashes. */
    private static int mixed(int hash) {
        int spread = hash * 0x9E3779B1;
        return spread ^ spread >>> 15;
    }
}
