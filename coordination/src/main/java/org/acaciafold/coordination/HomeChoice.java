package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/** Chooses the slice in which a new job is homed. */
final class HomeChoice {
    private HomeChoice() {}

    /**
     * Chooses the slice with the largest free part among those in open failure domains whose largest worker fits the
     * demand; without such a slice the one with the largest worker.
     *
     * @param state the tables of this host
     * @param demand the resources of each task
     * @param nowMs the time in milliseconds
     * @return the slice, empty when no owner is known
     */
    static Optional<SliceId> choose(HostState state, Resources demand, long nowMs) {
        List<SliceSummary> known = open(state, nowMs);
        Optional<SliceSummary> fitting = known.stream()
                .filter(summary -> demand.fitsIn(summary.largest()))
                .max(Comparator.comparingDouble(HomeChoice::freePart).thenComparing(SliceSummary::slice));
        Comparator<SliceSummary> bySize =
                Comparator.comparingDouble(summary -> -demand.dominantShare(summary.largest()));
        return fitting.or(() -> known.stream().max(bySize.thenComparing(SliceSummary::slice)))
                .map(SliceSummary::slice);
    }

    /**
     * Chooses the slice to which a job moves, so that many jobs spread over the slices that fit them.
     *
     * @param state the tables of this host
     * @param job the job
     * @param from the slice that it leaves
     * @param nowMs the time in milliseconds
     * @return the freer one of two slices that the job's identifier picks, empty when no other slice fits
     */
    static Optional<SliceId> spread(HostState state, JobSpec job, SliceId from, long nowMs) {
        List<SliceSummary> fitting = open(state, nowMs).stream()
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
        return Optional.of(freePart(first) >= freePart(second) ? first.slice() : second.slice());
    }

    private static double freePart(SliceSummary summary) {
        Resources reserved = summary.reserved();
        double waiting = (double) summary.waiting() / (1 + summary.capacity().cpuMillis() / 1_000);
        return 1 - reserved.dominantShare(summary.capacity()) - waiting;
    }

    private static List<SliceSummary> open(HostState state, long nowMs) {
        List<SliceSummary> known = new ArrayList<>();
        for (OwnedSlice slice : state.owned().values()) {
            known.add(slice.summary());
        }
        for (Map.Entry<HostId, PeerEntry> peer : state.peers().entrySet()) {
            if (state.heardLately(peer.getKey(), nowMs)) {
                known.addAll(peer.getValue().slices());
            }
        }
        known.removeIf(summary -> state.settings().takenOut(Slices.domain(summary.slice())));
        return known;
    }
}
