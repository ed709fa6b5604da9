package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/**
 * The capacity and the load of a slice.
 *
 * @param capacity the capacity of all ready workers
 * @param reserved the resources of all tasks that run or are being started or stopped
 * @param waiting the number of tasks that wait
 * @param running the number of tasks that run or are being started or stopped
 */
public record PlacementSummary(Resources capacity, Resources reserved, int waiting, int running) {}
