package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/**
 * What a slice has and holds.
 *
 * @param capacity of all ready workers
 * @param reserved of all tasks that run or are being started or stopped
 * @param waiting tasks that wait
 * @param running tasks that run
 */
public record PlacementSummary(Resources capacity, Resources reserved, int waiting, int running) {}
