package org.acaciafold.coordination;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.TaskId;

/**
 * One attempt of a task; attempts of different owners differ.
 *
 * @param task the task
 * @param attempt the attempt
 */
record AttemptId(TaskId task, long attempt) implements Comparable<AttemptId> {
    /** Returns an identifier that sorts before all other identifiers of a job. */
    static AttemptId first(JobId job) {
        return new AttemptId(TaskId.of(job, 0), Long.MIN_VALUE);
    }

    @Override
    public int compareTo(AttemptId that) {
        int byTask = task.compareTo(that.task);
        return byTask != 0 ? byTask : Long.compare(attempt, that.attempt);
    }
}
