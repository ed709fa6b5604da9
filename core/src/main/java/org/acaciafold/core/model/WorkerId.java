package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a worker.
 *
 * @param value the identifier as text, never blank
 */
public record WorkerId(@JsonValue String value) implements Comparable<WorkerId> {
    /**
     * Validates the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public WorkerId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a worker identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static WorkerId of(String value) {
        return new WorkerId(value);
    }

    @Override
    public int compareTo(WorkerId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
