package org.acaciafold.fleet.scheduling;

/**
 * What a tick had to look at.
 *
 * @param waitingSteps how many steps waited to start tasks
 * @param searches how often the workers of a kind were looked through
 */
public record TickCost(int waitingSteps, int searches) {}
