package org.acaciafold.core.port;

import org.acaciafold.core.model.TaskId;

/**
 * The end of a task, reported until the owner acknowledges it.
 *
 * @param id the number of the report at its worker
 * @param task the task
 * @param attempt the attempt that ended
 * @param reason why it ended
 * @param result what the task left as its result, empty when nothing
 * @param ranMs how long it ran in milliseconds
 */
public record TaskEnd(long id, TaskId task, long attempt, EndReason reason, String result, long ranMs) {}
