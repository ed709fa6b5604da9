package org.acaciafold.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that an unknown name is most likely a misspelling of. */
final class ClosestName {
    private static final int MAX_DISTANCE = 3;

    private ClosestName() {}

    /**
     * Returns a hint that suggests the closest known name, or lists all known names.
     *
     * @param wrong the unknown name
     * @param right the known names
     * @return the hint, without a capital letter, to be appended to an error message
     */
    static String hint(String wrong, Collection<String> right) {
        return find(wrong, right)
                .map(name -> "did you mean " + name + "?")
                .orElseGet(() -> "known here: " + String.join(", ", right));
    }

    private static Optional<String> find(String wrong, Collection<String> right) {
        LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
        return right.stream()
                .filter(name -> distance.apply(wrong, name) <= MAX_DISTANCE)
                .min(Comparator.comparing((String name) -> distance.apply(wrong, name))
                        .thenComparing(Comparator.naturalOrder()));
    }
}
