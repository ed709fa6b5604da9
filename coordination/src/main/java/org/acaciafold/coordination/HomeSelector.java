package org.acaciafold.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/**
 * Chooses the slices in which jobs are homed, by the load of running and waiting tasks.
 *
 * <p>Jobs that this host has homed recently are added to the load, because the owners' summaries do not contain them
 * yet.
 */
final class HomeSelector {
    /** The load at which a slice has no free capacity and no waiting tasks. */
    private static final double FULL_LOAD = 1;

    /** The waiting demand, as a fraction of the slice's capacity, above which jobs move to less loaded slices. */
    private static final double OVERLOAD_MARGIN = 0.5;

    private final HostState state;
    private final Deque<Homed> recent = new ArrayDeque<>();

    private HomeSelector(HostState state) {
        this.state = state;
    }

    static HomeSelector of(HostState state) {
        return new HomeSelector(state);
    }

    /**
     * Chooses the least loaded slice among those in open failure domains whose largest worker fits the demand, or
     * the slice with the largest worker if none fits.
     *
     * @param demand the resources of each task
     * @param tasks the number of tasks
     * @param nowMs the time in milliseconds
     * @return the slice, empty if no owner is known
     */
    Optional<SliceId> choose(Resources demand, int tasks, long nowMs) {
        List<SliceSummary> known = openSlices(nowMs);
        Map<SliceId, Resources> added = recentDemand(nowMs);
        Comparator<SliceSummary> byLoad = Comparator.comparingDouble(summary -> load(summary, added));
        Optional<SliceSummary> fitting = known.stream()
                .filter(summary -> demand.fitsIn(summary.largest()))
                .min(byLoad.thenComparing(SliceSummary::slice));
        Comparator<SliceSummary> bySize =
                Comparator.comparingDouble(summary -> demand.dominantShare(summary.largest()));
        Optional<SliceId> chosen = fitting.or(() -> known.stream().min(bySize.thenComparing(SliceSummary::slice)))
                .map(SliceSummary::slice);
        chosen.ifPresent(slice -> recent.add(new Homed(slice, demand.times(tasks), nowMs)));
        return chosen;
    }

    /**
     * Returns the slices with free capacity to which an overloaded slice can move waiting jobs.
     *
     * @param state the tables of this host
     * @param from the summary of the slice in which the jobs wait
     * @param nowMs the time in milliseconds
     * @return the slices with free capacity, the least loaded first; none while the slice itself is not overloaded
     */
    static List<SliceSummary> withFreeCapacity(HostState state, SliceSummary from, long nowMs) {
        if (load(from, Map.of()) <= FULL_LOAD + OVERLOAD_MARGIN) {
            return List.of();
        }
        return of(state).openSlices(nowMs).stream()
                .filter(summary -> !summary.slice().equals(from.slice()))
                .filter(summary -> load(summary, Map.of()) < FULL_LOAD)
                .sorted(Comparator.<SliceSummary>comparingDouble(summary -> load(summary, Map.of()))
                        .thenComparing(SliceSummary::slice))
                .toList();
    }

    /**
     * Chooses the slice to which a job moves, the same on each host with the same summaries.
     *
     * @param state the tables of this host
     * @param job the job
     * @param from the slice that the job leaves
     * @param nowMs the time in milliseconds
     * @return the less loaded of two slices selected by a hash of the job's identifier, empty if no other slice fits
     */
    static Optional<SliceId> chooseMoveTarget(HostState state, JobSpec job, SliceId from, long nowMs) {
        List<SliceSummary> fitting = of(state).openSlices(nowMs).stream()
                .filter(summary -> !summary.slice().equals(from))
                .filter(summary -> job.demand().fitsIn(summary.largest()))
                .sorted(Comparator.comparing(SliceSummary::slice))
                .toList();
        if (fitting.isEmpty()) {
            return Optional.empty();
        }
        long hash = StableHash.of(job.id().value());
        SliceSummary first = fitting.get((int) Long.remainderUnsigned(hash, fitting.size()));
        SliceSummary second = fitting.get((int) Long.remainderUnsigned(Long.rotateLeft(hash, 32), fitting.size()));
        boolean firstIsFreer = load(first, Map.of()) <= load(second, Map.of());
        return Optional.of(firstIsFreer ? first.slice() : second.slice());
    }

    private Map<SliceId, Resources> recentDemand(long nowMs) {
        long oldestMs = nowMs - state.config().controlLeaseMs();
        while (!recent.isEmpty() && recent.peek().atMs() < oldestMs) {
            recent.poll();
        }
        Map<SliceId, Resources> added = new HashMap<>();
        recent.forEach(homed -> added.merge(homed.slice(), homed.demand(), Resources::plus));
        return added;
    }

    private static double load(SliceSummary summary, Map<SliceId, Resources> added) {
        return summary.reserved()
                .plus(summary.waitingDemand())
                .plus(added.getOrDefault(summary.slice(), Resources.empty()))
                .dominantShare(summary.capacity());
    }

    private List<SliceSummary> openSlices(long nowMs) {
        List<SliceSummary> known = new ArrayList<>();
        for (OwnedSlice slice : state.owned().values()) {
            known.add(slice.summary());
        }
        for (Map.Entry<HostId, PeerEntry> peer : state.peers().entrySet()) {
            if (state.isReachable(peer.getKey(), nowMs)) {
                known.addAll(peer.getValue().slices());
            }
        }
        known.removeIf(summary -> state.settings().takenOut(Slices.domain(summary.slice())));
        return known;
    }

    /** A job that this host has homed recently, with the resources of all its tasks. */
    private record Homed(SliceId slice, Resources demand, long atMs) {}
}
