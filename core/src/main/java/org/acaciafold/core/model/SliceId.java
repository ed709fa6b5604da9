package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a slice: the workers of one failure domain, or a part of them.
 *
 * @param value the identifier as text, never blank
 */
public record SliceId(@JsonValue String value) implements Comparable<SliceId> {
    /**
     * Validates the identifier.
     *
     * @param value the identifier as text, never blank
     */
    public SliceId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("a slice identifier must not be blank");
        }
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the identifier as text, never blank
     * @return the identifier
     */
    @JsonCreator
    public static SliceId of(String value) {
        return new SliceId(value);
    }

    @Override
    public int compareTo(SliceId that) {
        return value.compareTo(that.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
