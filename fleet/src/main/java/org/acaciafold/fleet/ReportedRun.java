package org.acaciafold.fleet;

/**
 * A run that a worker reports as present.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the last checkpoint, or empty
 * @param percent the progress in percent, as estimated by the worker
 */
public record ReportedRun(TaskName task, int run, String checkpoint, int percent) {}
