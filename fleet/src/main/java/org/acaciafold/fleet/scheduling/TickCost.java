package org.acaciafold.fleet.scheduling;

/**
 * What a tick had to look at.
 *
 * @param waitingSteps how many steps waited to start tasks
 * @param searches how often the workers of a kind were looked through
 * @param measurements how often the use of the whole fleet was measured
 */
public record TickCost(int waitingSteps, int searches, int measurements) {}
