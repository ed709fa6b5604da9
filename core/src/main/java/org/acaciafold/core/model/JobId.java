package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a job.
 *
 * @param value the identifier as text, never blank
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {
    /**
     * Validates the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public JobId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a job identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
