package org.acaciafold.coordination;

import org.acaciafold.core.model.Resources;

/**
 * What a team could use of its upper limit in one slice.
 *
 * @param wanted what its tasks there have and what those that wait ask for
 * @param usable the part that could run at once: what it has, and what waits as far as the slice has room, or as far as
 *     the team is below its fair part of the slice
 */
record AllotmentNeed(Resources wanted, Resources usable) {
    /**
     * Computes the need.
     *
     * @param usage what the team has in the slice
     * @param wanted what its tasks there have and what those that wait ask for
     * @param free the room of the slice that nobody has
     * @param fair the fair part of the team in the slice
     * @return the need
     */
    static AllotmentNeed of(Resources usage, Resources wanted, Resources free, Resources fair) {
        Resources room = usage.plus(free).max(fair);
        return new AllotmentNeed(wanted, wanted.min(room).max(usage));
    }
}
