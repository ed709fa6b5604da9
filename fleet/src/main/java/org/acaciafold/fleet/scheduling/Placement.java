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

/** Chooses workers for tasks within the room that a tick has left. */
final class Placement {
    private final Map<WorkerRow, Resources> free = new HashMap<>();

    Placement(Collection<WorkerRow> workers) {
        workers.forEach(worker -> free.put(worker, worker.free()));
    }

    Resources free(WorkerRow worker) {
        return free.getOrDefault(worker, Resources.empty());
    }

    void take(WorkerRow worker, Resources amount) {
        free.merge(worker, amount, Resources::minus);
    }

    void close(WorkerRow worker) {
        free.put(worker, Resources.empty());
    }

    /**
     * Chooses workers for tasks of a step, as many as fit.
     *
     * @param tasks the tasks, in order
     * @param candidates the workers that may run them
     * @return the chosen workers by task; the room is not taken yet
     */
    Map<TaskRow, WorkerRow> choose(List<TaskRow> tasks, List<WorkerRow> candidates) {
        if (tasks.isEmpty() || candidates.isEmpty()) {
            return Map.of();
        }
        StepRow step = tasks.getFirst().step;
        if (step.spec.gang()) {
            Optional<Map<TaskRow, WorkerRow>> near =
                    step.spec.sameRack() ? together(tasks, candidates, WorkerEntry::rack) : Optional.empty();
            // a gang that spans failure domains breaks when any of them is cut off
            return near.or(() -> together(tasks, candidates, WorkerEntry::domain))
                    .orElseGet(() -> spread(tasks, candidates));
        }
        return spread(tasks, candidates);
    }

    /**
     * Returns how many tasks of a step would fit if the workers were empty.
     *
     * @param step the step
     * @param worker the worker
     * @return the number of tasks
     */
    static int capacityFor(StepRow step, WorkerRow worker) {
        Resources capacity = worker.entry().map(entry -> entry.capacity()).orElse(Resources.empty());
        return limited(step, fitting(capacity, step.spec.each()));
    }

    /** Chooses workers for all tasks in one group of workers, the one with the least room that holds them. */
    private Optional<Map<TaskRow, WorkerRow>> together(
            List<TaskRow> tasks, List<WorkerRow> candidates, Function<WorkerEntry, String> group) {
        Map<String, List<WorkerRow>> groups = new TreeMap<>();
        for (WorkerRow worker : candidates) {
            String name = worker.entry().map(group).orElse("");
            groups.computeIfAbsent(name, key -> new ArrayList<>()).add(worker);
        }
        List<List<WorkerRow>> ordered = new ArrayList<>(groups.values());
        ordered.sort(Comparator.comparingLong(workers ->
                workers.stream().mapToLong(worker -> free(worker).cpuMillis()).sum()));
        for (List<WorkerRow> workers : ordered) {
            Map<TaskRow, WorkerRow> chosen = spread(tasks, workers);
            if (chosen.size() == tasks.size()) {
                return Optional.of(chosen);
            }
        }
        return Optional.empty();
    }

    private Map<TaskRow, WorkerRow> spread(List<TaskRow> tasks, List<WorkerRow> candidates) {
        StepRow step = tasks.getFirst().step;
        Resources each = step.spec.each();
        Map<WorkerRow, Integer> room = new HashMap<>();
        for (WorkerRow worker : candidates) {
            int already = running(step, worker);
            int fits = Math.min(fitting(free(worker), each), limited(step, Integer.MAX_VALUE) - already);
            if (fits > 0) {
                room.put(worker, fits);
            }
        }
        List<WorkerRow> ordered = new ArrayList<>(room.keySet());
        ordered.sort(preference(step));
        Map<TaskRow, WorkerRow> chosen = new LinkedHashMap<>();
        for (TaskRow task : tasks) {
            pick(task, ordered, room).ifPresent(worker -> {
                chosen.put(task, worker);
                room.merge(worker, -1, Integer::sum);
            });
        }
        return chosen;
    }

    /** Orders by the rack of the data, then by the least room, so that wide gaps stay for wide gangs. */
    private Comparator<WorkerRow> preference(StepRow step) {
        String rack = step.spec.rack();
        Comparator<WorkerRow> near = Comparator.comparing(worker -> !rack.isEmpty()
                && !worker.entry().map(entry -> entry.rack().equals(rack)).orElse(false));
        return near.thenComparing(worker -> free(worker).cpuMillis()).thenComparing(worker -> worker.id);
    }

    private static Optional<WorkerRow> pick(TaskRow task, List<WorkerRow> ordered, Map<WorkerRow, Integer> room) {
        WorkerRow second = null;
        for (WorkerRow worker : ordered) {
            if (room.get(worker) <= 0) {
                continue;
            }
            if (!task.failedOn.contains(worker.id)) {
                return Optional.of(worker);
            }
            second = second == null ? worker : second;
        }
        return Optional.ofNullable(second);
    }

    private static int running(StepRow step, WorkerRow worker) {
        if (step.spec.maxPerWorker() == 0) {
            return 0;
        }
        int count = 0;
        for (RunRow run : worker.runs.values()) {
            count += run.task.step == step ? 1 : 0;
        }
        return count;
    }

    private static int limited(StepRow step, int count) {
        return step.spec.maxPerWorker() > 0 ? Math.min(count, step.spec.maxPerWorker()) : count;
    }

    private static int fitting(Resources room, Resources each) {
        long most = Integer.MAX_VALUE;
        most = Math.min(most, quotient(room.cpuMillis(), each.cpuMillis()));
        most = Math.min(most, quotient(room.memoryMib(), each.memoryMib()));
        most = Math.min(most, quotient(room.accelerators(), each.accelerators()));
        return (int) Math.max(0, most);
    }

    private static long quotient(long room, long each) {
        return each <= 0 ? Integer.MAX_VALUE : room / each;
    }
}
