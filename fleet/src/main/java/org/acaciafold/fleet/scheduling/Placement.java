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

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.WorkerEntry;

/**
 * Chooses workers for tasks within the room that a tick has left.
 *
 * <p>Steps that ask for the same kind of workers share one list of them, and a size that has found no room is not looked
 * for again in the same tick, so that the cost of a tick follows what can start and not what waits.
 */
final class Placement {
    private final List<FreeCapacity> capacities = new ArrayList<>();
    private final Map<String, FreeCapacity> byWorker = new HashMap<>();
    private final Map<Kind, Candidates> byKind = new HashMap<>();
    private int searches;

    /**
     * Creates the placement of a tick.
     *
     * @param workers the registered workers that may start tasks
     */
    Placement(Collection<WorkerRow> workers) {
        for (WorkerRow worker : workers) {
            FreeCapacity capacity = FreeCapacity.of(worker);
            capacities.add(capacity);
            byWorker.put(worker.id, capacity);
        }
    }

    /** Returns the room of a worker that may start tasks of a step. */
    Optional<FreeCapacity> freeCapacity(StepRow step, String worker) {
        return Optional.ofNullable(byWorker.get(worker))
                .filter(capacity -> kind(step).includes(capacity.entry));
    }

    /** Returns how often the workers of a kind were looked through. */
    int searches() {
        return searches;
    }

    /** Returns the workers of a step's service that have the label it asks for. */
    List<FreeCapacity> candidates(StepRow step) {
        searches++;
        return ofKind(step).capacities();
    }

    /** Tells whether any candidate has room for one task of a step. */
    boolean fitsAnywhere(StepRow step) {
        Resources each = step.spec.each();
        Candidates candidates = ofKind(step);
        if (candidates.knownNotToFit(each)) {
            return false;
        }
        searches++;
        return candidates.fits(each);
    }

    /**
     * Chooses workers for tasks of a step, as many as fit; for a gang whole or none.
     *
     * @param tasks the tasks, in order
     * @param candidates the workers that may run them
     * @return the chosen workers by task; the room is not taken yet
     */
    Map<TaskRow, FreeCapacity> choose(List<TaskRow> tasks, List<FreeCapacity> candidates) {
        if (tasks.isEmpty() || candidates.isEmpty()) {
            return Map.of();
        }
        StepRow step = tasks.getFirst().step;
        if (!step.spec.gang()) {
            return spread(tasks, candidates);
        }
        if (!holds(step, candidates, tasks.size())) {
            return Map.of();
        }
        Optional<Map<TaskRow, FreeCapacity>> near =
                step.spec.sameRack() ? together(tasks, candidates, WorkerEntry::rack) : Optional.empty();
        // a gang that spans failure domains breaks when any of them is cut off
        return near.or(() -> together(tasks, candidates, WorkerEntry::domain))
                .orElseGet(() -> spread(tasks, candidates));
    }

    /** Returns workers in the order in which tasks of a step prefer them. */
    List<FreeCapacity> preferred(StepRow step, List<FreeCapacity> some) {
        searches++;
        List<FreeCapacity> ordered = new ArrayList<>(some);
        ordered.sort(preference(step));
        return ordered;
    }

    /** Returns how many tasks of a step would fit on a worker if it were empty. */
    static int capacityFor(StepRow step, FreeCapacity capacity) {
        return limited(step, capacity.maxTasksWhenEmpty(step.spec.each()));
    }

    private static boolean holds(StepRow step, List<FreeCapacity> candidates, int tasks) {
        long fits = 0;
        for (FreeCapacity capacity : candidates) {
            fits += vacancies(step, capacity);
        }
        return fits >= tasks;
    }

    /** Chooses workers for all tasks in one group of workers, the one with the least room that holds them. */
    private Optional<Map<TaskRow, FreeCapacity>> together(
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
            if (holds(tasks.getFirst().step, members, tasks.size())) {
                return Optional.of(spread(tasks, members));
            }
        }
        return Optional.empty();
    }

    private Map<TaskRow, FreeCapacity> spread(List<TaskRow> tasks, List<FreeCapacity> candidates) {
        StepRow step = tasks.getFirst().step;
        List<Vacancy> vacancies = new ArrayList<>();
        for (FreeCapacity capacity : candidates) {
            int fits = vacancies(step, capacity);
            if (fits > 0) {
                vacancies.add(new Vacancy(capacity, fits));
            }
        }
        vacancies.sort(Comparator.comparing(vacancy -> vacancy.capacity, preference(step)));
        Map<TaskRow, FreeCapacity> chosen = new LinkedHashMap<>();
        for (TaskRow task : tasks) {
            pick(task, vacancies).ifPresent(vacancy -> {
                chosen.put(task, vacancy.capacity);
                vacancy.left--;
            });
        }
        return chosen;
    }

    /** Orders by the rack of the data, then by the least room, so that wide gaps stay for wide gangs. */
    private static Comparator<FreeCapacity> preference(StepRow step) {
        String rack = step.spec.rack();
        Comparator<FreeCapacity> least = (a, b) -> {
            int byFreeCpu = Long.compare(a.cpuMillis(), b.cpuMillis());
            return byFreeCpu != 0 ? byFreeCpu : a.worker.id.compareTo(b.worker.id);
        };
        Comparator<FreeCapacity> near =
                Comparator.comparing(capacity -> !capacity.entry.rack().equals(rack));
        return rack.isEmpty() ? least : near.thenComparing(least);
    }

    private static Optional<Vacancy> pick(TaskRow task, List<Vacancy> ordered) {
        Vacancy second = null;
        for (Vacancy vacancy : ordered) {
            if (vacancy.left <= 0) {
                continue;
            }
            if (!task.failedOn.contains(vacancy.capacity.worker.id)) {
                return Optional.of(vacancy);
            }
            second = second == null ? vacancy : second;
        }
        return Optional.ofNullable(second);
    }

    /** Returns how many further tasks of a step may start on a worker. */
    static int vacancies(StepRow step, FreeCapacity capacity) {
        int fits = capacity.maxTasks(step.spec.each());
        return step.spec.maxPerWorker() == 0 || fits == 0
                ? fits
                : Math.min(fits, step.spec.maxPerWorker() - running(step, capacity.worker));
    }

    private static int running(StepRow step, WorkerRow worker) {
        int count = 0;
        for (RunRow run : worker.runs.values()) {
            count += run.task.step == step ? 1 : 0;
        }
        return count;
    }

    private static int limited(StepRow step, int count) {
        return step.spec.maxPerWorker() > 0 ? Math.min(count, step.spec.maxPerWorker()) : count;
    }

    private Candidates ofKind(StepRow step) {
        return byKind.computeIfAbsent(kind(step), kind -> {
            searches++;
            List<FreeCapacity> found = new ArrayList<>();
            for (FreeCapacity capacity : capacities) {
                if (kind.includes(capacity.entry)) {
                    found.add(capacity);
                }
            }
            return Candidates.of(found);
        });
    }

    private static Kind kind(StepRow step) {
        return new Kind(step.job.job.route().service(), step.spec.label());
    }

    /** Which workers may run a step, as far as they themselves decide it. */
    private record Kind(String service, String label) {
        private boolean includes(WorkerEntry worker) {
            return worker.service().equals(service)
                    && (label.isEmpty() || worker.labels().contains(label));
        }
    }

    /** A worker with the number of tasks that it still takes. */
    private static final class Vacancy {
        private final FreeCapacity capacity;
        private int left;

        private Vacancy(FreeCapacity capacity, int left) {
            this.capacity = capacity;
            this.left = left;
        }
    }
}
