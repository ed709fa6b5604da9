package org.acaciafold.fleet;

/**
 * The end of a run, which a worker reports until it is acknowledged.
 *
 * @param number the number of the end within this incarnation of the worker, from 1
 * @param task the task
 * @param run the number of the run
 * @param kind how the run ended
 * @param checkpoint the last checkpoint, or empty
 */
public record RunEnd(long number, TaskName task, int run, EndKind kind, String checkpoint) {}
