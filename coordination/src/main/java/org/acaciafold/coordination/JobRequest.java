package org.acaciafold.coordination;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;

/**
 * What a caller submits.
 *
 * @param name the job's name, the same for each run of the same work; a service is called by it
 * @param kind the shape of the work
 * @param demand the declared resources of each task
 * @param priority the class in the order of placement
 * @param exclusive whether no task may ever run in two places at once
 * @param runTimeMs the declared run time of a task in milliseconds
 * @param payload what the worker is told to run
 */
public record JobRequest(
        String name,
        JobKind kind,
        Resources demand,
        Priority priority,
        boolean exclusive,
        long runTimeMs,
        String payload) {}
