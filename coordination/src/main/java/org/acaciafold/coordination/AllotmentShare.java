package org.acaciafold.coordination;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;

/**
 * The part of a workspace's upper limit that is assigned to one slice.
 *
 * @param fence the fencing token of the owner that wrote the share
 * @param amount the resources that the running tasks of the slice may use
 * @param want the resources that the slice requests beyond the amount
 */
record AllotmentShare(Fence fence, Resources amount, Resources want) {
    private static final AllotmentShare NONE = new AllotmentShare(Fence.none(), Resources.empty(), Resources.empty());

    static AllotmentShare none() {
        return NONE;
    }
}
