package org.acaciafold.coordination;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/** Computes the share of a workspace's upper limit that a slice should have. */
final class AllotmentTargets {
    private static final long BASE_DIVISOR = 2;

    private AllotmentTargets() {}

    /**
     * Returns the share that a slice should have.
     *
     * @param row the row of the workspace
     * @param slice the slice
     * @param limit the upper limit in the settings
     * @param demand what the workspace could use in the slice
     * @param slices the number of slices in the fleet
     * @return the target: while the shares add up to more than the limit, the share reduced in proportion; otherwise
     *     what the workspace demands, but of the resources that other slices lack only what could be used at once
     */
    static Resources target(AllotmentRow row, SliceId slice, Resources limit, AllotmentDemand demand, long slices) {
        Resources share = row.share(slice).amount();
        Resources assigned = row.assigned();
        if (!assigned.fitsIn(limit)) {
            return demand.wanted().min(inProportion(share, limit, assigned));
        }
        Resources others = row.wantedByOthers(slice);
        Resources base = limit.part(BASE_DIVISOR * slices);
        Resources floor = demand.usable().max(base);
        Resources idle = share.minus(floor).max(Resources.empty());
        Resources kept = share.minus(idle.min(others));
        Resources taken = Resources.of(
                others.cpuMillis() > 0 ? floor.cpuMillis() : demand.wanted().cpuMillis(),
                others.memoryMib() > 0 ? floor.memoryMib() : demand.wanted().memoryMib(),
                others.accelerators() > 0
                        ? floor.accelerators()
                        : demand.wanted().accelerators());
        return floor.max(kept).max(taken).min(limit);
    }

    private static Resources inProportion(Resources share, Resources limit, Resources assigned) {
        return Resources.of(
                portion(share.cpuMillis(), limit.cpuMillis(), assigned.cpuMillis()),
                portion(share.memoryMib(), limit.memoryMib(), assigned.memoryMib()),
                portion(share.accelerators(), limit.accelerators(), assigned.accelerators()));
    }

    private static long portion(long share, long limit, long assigned) {
        return assigned <= limit ? share : share * limit / assigned;
    }
}
