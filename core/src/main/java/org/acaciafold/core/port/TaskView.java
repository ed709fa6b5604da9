package org.acaciafold.core.port;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.TaskId;

/**
 * A task as its worker reports it.
 *
 * @param task the task
 * @param attempt the number of the attempt, assigned by the owner
 * @param spec the job
 * @param leaseLeftMs milliseconds until the worker stops the task unless its lease is renewed
 * @param phase the phase of the task
 */
public record TaskView(TaskId task, long attempt, JobSpec spec, long leaseLeftMs, TaskPhase phase) {}
