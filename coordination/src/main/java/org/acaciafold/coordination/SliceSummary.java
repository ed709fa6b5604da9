package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/**
 * The summary of a slice that its owner sends to its peers.
 *
 * @param slice the slice
 * @param fence the fencing token of the owner
 * @param capacity the total capacity of all ready workers
 * @param reserved the total demand of all tasks that run or are being started or stopped
 * @param largest the largest amount of each resource that any worker has
 * @param waiting the number of waiting tasks
 * @param waitingDemand the total demand of all waiting tasks
 * @param services the services with replicas in the slice
 */
public record SliceSummary(
        SliceId slice,
        Fence fence,
        Resources capacity,
        Resources reserved,
        Resources largest,
        int waiting,
        Resources waitingDemand,
        List<ServiceSummary> services) {}
