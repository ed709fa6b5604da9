package org.acaciafold.fleet;

/**
 * Permission to run a step on a worker.
 *
 * @param worker the worker's identifier
 * @param ticket what a start there has to carry
 */
public record Grant(String worker, String ticket) {}
