package org.acaciafold.core.port;

import org.acaciafold.core.model.TaskId;

/**
 * The end of a task, which the worker reports until the owner acknowledges it.
 *
 * @param id the number of the report, assigned by the worker
 * @param task the task
 * @param attempt the attempt that ended
 * @param reason why it ended
 * @param result the result of the task, empty if it has none
 * @param ranMs how long it ran in milliseconds
 */
public record TaskEnd(long id, TaskId task, long attempt, EndReason reason, String result, long ranMs) {}
