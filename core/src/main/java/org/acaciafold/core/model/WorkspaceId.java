package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a workspace.
 *
 * @param value the identifier as text, never blank
 */
public record WorkspaceId(@JsonValue String value) implements Comparable<WorkspaceId> {
    /**
     * Validates the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public WorkspaceId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a workspace identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
    }

    @Override
    public int compareTo(WorkspaceId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
