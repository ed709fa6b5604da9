package org.acaciafold.core.placement;

/** How the replicas of a service are placed. */
public sealed interface ServicePolicy {
    /**
     * Spreads replicas over workers and racks.
     *
     * @param perRack the maximum number of replicas in one rack while others have free capacity, at least 1
     */
    record Spread(int perRack) implements ServicePolicy {}

    /**
     * Fills workers before it uses others.
     */
    record Pack() implements ServicePolicy {}
}
