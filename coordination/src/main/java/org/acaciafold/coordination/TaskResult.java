package org.acaciafold.coordination;

/**
 * The result that a task returned.
 *
 * @param task the index of the task
 * @param result the result, not empty
 */
record TaskResult(int task, String result) {}
