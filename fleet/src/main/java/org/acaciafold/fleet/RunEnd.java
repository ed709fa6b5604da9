package org.acaciafold.fleet;

/**
 * An end that a worker lists until it is acknowledged.
 *
 * @param number its number in this life of the worker, from 1
 * @param task the task
 * @param run the number of the run
 * @param kind how the run ended
 * @param checkpoint the last checkpoint, or empty
 */
public record RunEnd(long number, TaskName task, int run, EndKind kind, String checkpoint) {}
