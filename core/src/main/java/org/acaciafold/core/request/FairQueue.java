package org.acaciafold.core.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.acaciafold.core.model.TeamId;

/**
 * A queue that serves teams in proportion to their weights, each team's lanes in turn and each lane in order.
 *
 * <p>Example: {@code queue.take(lane -> hasRoom(lane))} takes the next item whose lane has room.
 *
 * @param <L> the type of the lanes
 * @param <T> the type of the items
 */
public final class FairQueue<L, T> {
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<TeamId, TeamQueue<L, T>> teams = new TreeMap<>();
    private final Map<TeamId, Double> weights = new TreeMap<>();
    private double served;

    private FairQueue() {}

    /**
     * Creates a queue.
     *
     * @param <L> the type of the lanes
     * @param <T> the type of the items
     * @return a queue without items
     */
    public static <L, T> FairQueue<L, T> empty() {
        return new FairQueue<>();
    }

    /**
     * Adds an item at the end of its lane.
     *
     * @param team the team
     * @param lane the lane of the team
     * @param item the item
     */
    public void add(TeamId team, L lane, T item) {
        TeamQueue<L, T> queue = teams.computeIfAbsent(team, key -> new TeamQueue<>(served));
        queue.lanes.computeIfAbsent(lane, key -> new ArrayDeque<>()).add(item);
        queue.size++;
    }

    /**
     * Removes an item.
     *
     * @param team its team
     * @param lane its lane
     * @param item the item
     */
    public void remove(TeamId team, L lane, T item) {
        TeamQueue<L, T> queue = teams.get(team);
        if (queue != null
                && queue.lanes.containsKey(lane)
                && queue.lanes.get(lane).remove(item)) {
            shrink(team, queue, lane);
        }
    }

    /**
     * Returns the share that a team gets while all teams that wait go on waiting.
     *
     * @param team the team
     * @return a fraction above 0, at most 1
     */
    public double share(TeamId team) {
        double sum = teams.containsKey(team) ? 0 : weight(team);
        for (TeamId waiting : teams.keySet()) {
            sum += weight(waiting);
        }
        return weight(team) / sum;
    }

    /**
     * Returns how many items of a team wait.
     *
     * @param team the team
     * @return the number of items
     */
    public int size(TeamId team) {
        TeamQueue<L, T> queue = teams.get(team);
        return queue == null ? 0 : queue.size;
    }

    /**
     * Takes the next item in the fair order.
     *
     * @param ready tells of a lane whether its first item can be taken
     * @return the item, empty when no lane is ready
     */
    public Optional<T> take(Predicate<L> ready) {
        if (teams.isEmpty()) {
            return Optional.empty();
        }
        Comparator<TeamId> fair = Comparator.comparingDouble(team -> teams.get(team).passed);
        List<TeamId> order = teams.keySet().stream().sorted(fair).toList();
        for (TeamId team : order) {
            TeamQueue<L, T> queue = teams.get(team);
            Optional<L> lane = queue.lanes.keySet().stream().filter(ready).findFirst();
            if (lane.isPresent()) {
                return Optional.of(take(team, queue, lane.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Sets the weight of a team.
     *
     * @param team the team
     * @param value its weight, above 0
     */
    public void weight(TeamId team, double value) {
        weights.put(team, value);
    }

    private void shrink(TeamId team, TeamQueue<L, T> queue, L lane) {
        queue.size--;
        if (queue.lanes.get(lane).isEmpty()) {
            queue.lanes.remove(lane);
        }
        if (queue.size == 0) {
            teams.remove(team);
        }
    }

    private T take(TeamId team, TeamQueue<L, T> queue, L lane) {
        Deque<T> items = queue.lanes.remove(lane);
        T item = items.remove();
        queue.lanes.put(lane, items);
        served = Math.max(served, queue.passed);
        queue.passed += 1 / weight(team);
        shrink(team, queue, lane);
        return item;
    }

    private double weight(TeamId team) {
        return weights.getOrDefault(team, DEFAULT_WEIGHT);
    }

    private static final class TeamQueue<L, T> {
        private final Map<L, Deque<T>> lanes = new LinkedHashMap<>();
        private double passed;
        private int size;

        private TeamQueue(double passed) {
            this.passed = passed;
        }
    }
}
