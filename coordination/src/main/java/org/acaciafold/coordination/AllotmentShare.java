package org.acaciafold.coordination;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;

/**
 * The part of a workspace's upper limit that one slice has.
 *
 * @param fence the fencing token of the owner that wrote it
 * @param amount what the slice may have running
 * @param want what it needs beyond that
 */
record AllotmentShare(Fence fence, Resources amount, Resources want) {
    private static final AllotmentShare NONE = new AllotmentShare(Fence.none(), Resources.empty(), Resources.empty());

    static AllotmentShare none() {
        return NONE;
    }
}
