package org.acaciafold.fleet;

/**
 * The durable record that tasks may run on a worker.
 *
 * @param id the worker's identifier
 * @param address where its agent listens
 * @param bornMs when that life of it began, in milliseconds since 1970, 0 when unknown
 */
public record KnownWorker(String id, String address, long bornMs) {}
