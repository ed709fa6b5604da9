package org.acaciafold.core.port;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.TaskId;

/**
 * A task as its worker reports it.
 *
 * @param task the task
 * @param attempt the attempt that its owner numbered
 * @param spec the job
 * @param leaseLeftMs milliseconds until the worker stops it unless its lease is renewed
 * @param phase what the task is doing
 */
public record TaskView(TaskId task, long attempt, JobSpec spec, long leaseLeftMs, TaskPhase phase) {}
