package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of an entry host.
 *
 * @param value the identifier as text, never blank
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /**
     * Validates the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public HostId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a entry host identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
