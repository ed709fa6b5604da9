package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * The workers of one kind in a tick, and the sizes that are known to fit on none of them.
 *
 * <p>Room only shrinks within a tick, so what has not fitted once fits no more, nor does anything larger:
 *
 * <pre>{@code
 * boolean looks = !candidates.knownFull(each) && candidates.fits(each);
 * }</pre>
 */
final class Candidates {
    private final List<FreeCapacity> capacities;
    private final List<Resources> nonFittingSizes = new ArrayList<>();

    /** The most of each resource that any one worker had at the last look at all of them. */
    private Resources maxFree = Resources.empty();

    private Candidates(List<FreeCapacity> capacities) {
        this.capacities = capacities;
    }

    static Candidates of(List<FreeCapacity> capacities) {
        Candidates candidates = new Candidates(capacities);
        capacities.forEach(capacity -> candidates.maxFree = candidates.maxFree.max(capacity.free()));
        return candidates;
    }

    List<FreeCapacity> capacities() {
        return capacities;
    }

    /** Tells whether a size is known to fit nowhere, without a look at the workers. */
    boolean knownNotToFit(Resources each) {
        if (!each.fitsIn(maxFree)) {
            return true;
        }
        for (Resources nonFitting : nonFittingSizes) {
            if (nonFitting.fitsIn(each)) {
                return true;
            }
        }
        return false;
    }

    /** Looks at the workers for one with room for a task of a size. */
    boolean anyFits(Resources each) {
        Resources maxSeen = Resources.empty();
        for (FreeCapacity capacity : capacities) {
            if (capacity.fits(each)) {
                return true;
            }
            maxSeen = maxSeen.max(capacity.free());
        }
        maxFree = maxSeen;
        nonFittingSizes.removeIf(each::fitsIn);
        nonFittingSizes.add(each);
        return false;
    }
}
