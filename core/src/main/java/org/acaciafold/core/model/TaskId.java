package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of one task of a job, written as {@code job#index}.
 *
 * @param job the job
 * @param index the position of the task in its job, from 0
 */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {
    private static final char SEPARATOR = '#';

    /**
     * Validates the identifier.
     *
     * @param job the job
     * @param index the position of the task in its job, from 0
     */
    public TaskId {
        Objects.requireNonNull(job, "job");
        if (index < 0) {
            throw new IllegalArgumentException("a task index must not be negative: " + index);
        }
    }

    /**
     * Creates an identifier.
     *
     * @param job the job
     * @param index the position of the task in its job, from 0
     * @return the identifier
     */
    public static TaskId of(JobId job, int index) {
        return new TaskId(job, index);
    }

    /**
     * Parses an identifier from its text form.
     *
     * @param text a job identifier, {@code #} and an index, such as {@code job#0}
     * @return the identifier
     */
    @JsonCreator
    public static TaskId parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at < 1) {
            throw new IllegalArgumentException("not a task identifier: " + text);
        }
        return new TaskId(JobId.of(text.substring(0, at)), Integer.parseInt(text.substring(at + 1)));
    }

    @Override
    public int compareTo(TaskId that) {
        int byJob = job.compareTo(that.job);
        return byJob != 0 ? byJob : Integer.compare(index, that.index);
    }

    @JsonValue
    @Override
    public String toString() {
        return job.value() + SEPARATOR + index;
    }
}
