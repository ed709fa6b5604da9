package org.acaciafold.coordination;

/**
 * What a task left as its result.
 *
 * @param task the index of the task
 * @param result the result, not empty
 */
record TaskResult(int task, String result) {}
