package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a team.
 *
 * @param value the identifier as text, never blank
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {
    /**
     * Checks the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public TeamId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a team identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static TeamId of(String value) {
        return new TeamId(value);
    }

    @Override
    public int compareTo(TeamId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
