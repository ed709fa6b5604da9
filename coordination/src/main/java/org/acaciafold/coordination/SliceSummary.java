package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/**
 * What an owner tells its peers of a slice.
 *
 * @param slice the slice
 * @param fence the fencing token of the owner
 * @param capacity of all ready workers
 * @param reserved of all tasks that run or are being started or stopped
 * @param largest the largest worker
 * @param waiting tasks that wait
 * @param waitingDemand of all tasks that wait
 * @param services the services with replicas here
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
