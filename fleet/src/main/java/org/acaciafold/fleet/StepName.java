package org.acaciafold.fleet;

/**
 * Identifies one step of one occurrence of a job.
 *
 * @param job the job's identifier
 * @param occurrence the occurrence, counting from 0
 * @param step the index of the step
 */
public record StepName(String job, int occurrence, int step) {}
