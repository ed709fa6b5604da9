package org.acaciafold.core.placement;

/** How the replicas of a service are placed. */
public sealed interface ServicePolicy {
    /**
     * Spreads replicas over workers and racks.
     *
     * @param perRack the most replicas in one rack while others have room, at least 1
     */
    record Spread(int perRack) implements ServicePolicy {}

    /**
     * Fills workers up before it uses others.
     */
    record Pack() implements ServicePolicy {}
}
