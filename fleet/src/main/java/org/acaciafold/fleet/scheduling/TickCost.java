package org.acaciafold.fleet.scheduling;

/**
 * The amount of work in a tick.
 *
 * @param waitingSteps the number of steps that waited to start tasks
 * @param searches how often the candidate workers of a step were scanned
 * @param utilizationScans how often the utilization of the whole fleet was computed
 */
public record TickCost(int waitingSteps, int searches, int utilizationScans) {}
