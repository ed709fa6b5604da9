package org.acaciafold.core.request;

/**
 * The load of the replicas of a service.
 *
 * @param service the service
 * @param replicas the number of running replicas
 * @param freeSlots the number of free slots
 * @param waiting the number of live requests that wait for a slot
 */
public record ServiceLoad(ServiceKey service, int replicas, int freeSlots, int waiting) {}
