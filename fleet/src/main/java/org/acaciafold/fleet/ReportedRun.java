package org.acaciafold.fleet;

/**
 * A run that a worker lists as present.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the last checkpoint, or empty
 * @param percent the progress in percent, as far as the worker can tell
 */
public record ReportedRun(TaskName task, int run, String checkpoint, int percent) {}
