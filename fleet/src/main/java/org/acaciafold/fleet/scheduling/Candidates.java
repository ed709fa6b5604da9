package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * Holds the workers that match one selector in a tick, and the task sizes that are known to fit on none of them.
 *
 * <p>Free capacity only shrinks within a tick, so a size that did not fit once cannot fit later, nor can a larger one:
 *
 * <pre>{@code
 * boolean fits = !candidates.knownNotToFit(each) && candidates.anyFits(each);
 * }</pre>
 */
final class Candidates {
    private final List<FreeCapacity> capacities;
    private final List<Resources> nonFittingSizes = new ArrayList<>();

    /** The maximum of each resource that was free on any worker at the last scan of all workers. */
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

    /** Returns whether a size is known to fit on no worker, without scanning the workers. */
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

    /** Scans the workers and returns whether any has free capacity for a task of a size. */
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
