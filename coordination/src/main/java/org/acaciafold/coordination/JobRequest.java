package org.acaciafold.coordination;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;

/**
 * A job as submitted by a caller.
 *
 * @param name the name of the job, the same for each run of the same work; callers address a service by it
 * @param kind the kind of the job and its number of tasks
 * @param demand the declared resources of each task
 * @param priority the priority class in placement
 * @param exclusive whether a task must never run on two workers at the same time
 * @param runTimeMs the declared run time of a task in milliseconds
 * @param payload the description of the work for the worker
 */
public record JobRequest(
        String name,
        JobKind kind,
        Resources demand,
        Priority priority,
        boolean exclusive,
        long runTimeMs,
        String payload) {}
