package org.acaciafold.fleet;

/**
 * A permission from placement advice to run a step on a worker.
 *
 * @param worker the worker's identifier
 * @param ticket the ticket that an order to start on this worker must include
 */
public record Grant(String worker, String ticket) {}
