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
     * @param unknown the unknown name
     * @param known the known names
     * @return the hint, without a capital letter, to be appended to an error message
     */
    static String hint(String unknown, Collection<String> known) {
        return find(unknown, known)
                .map(name -> "did you mean " + name + "?")
                .orElseGet(() -> "known here: " + String.join(", ", known));
    }

    private static Optional<String> find(String unknown, Collection<String> known) {
        LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
        return known.stream()
                .filter(name -> distance.apply(unknown, name) <= MAX_DISTANCE)
                .min(Comparator.comparing((String name) -> distance.apply(unknown, name))
                        .thenComparing(Comparator.naturalOrder()));
    }
}
