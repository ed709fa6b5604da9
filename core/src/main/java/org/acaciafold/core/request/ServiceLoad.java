package org.acaciafold.core.request;

/**
 * How busy the replicas of a service are.
 *
 * @param service the service
 * @param replicas replicas that answer
 * @param freeSlots live requests that could start now
 * @param waiting live requests that wait
 */
public record ServiceLoad(ServiceKey service, int replicas, int freeSlots, int waiting) {}
