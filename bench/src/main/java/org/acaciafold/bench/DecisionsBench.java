package org.acaciafold.bench;

import java.util.List;

/** Measures decisions. */
final class DecisionsBench {
    private DecisionsBench() {}

    static List<ResultTable> run(long seed) {
        return List.of();
    }
}
