package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a failure domain.
 *
 * @param value the identifier as text, never blank
 */
public record DomainId(@JsonValue String value) implements Comparable<DomainId> {
    /**
     * Validates the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public DomainId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a failure domain identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static DomainId of(String value) {
        return new DomainId(value);
    }

    @Override
    public int compareTo(DomainId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
