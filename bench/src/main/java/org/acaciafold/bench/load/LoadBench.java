package org.acaciafold.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Plays all patterns of load on the deployments, each in seconds, so that a change of policy is judged before a day. */
public final class LoadBench {
    private static final long LENGTH_MS = 24_000;

    /** What is told of each pattern. */
    private static final List<String> COLUMNS = List.of(
            "worth",
            "worst 2 s",
            "nightly",
            "pricing",
            "holds",
            "first start p50 ms",
            "first start p95 ms",
            "processor time wasted");

    private LoadBench() {}

    /**
     * Plays the patterns.
     *
     * @param seed the seed of the jobs
     * @param pattern only those whose title has this in it; empty for all
     * @return the outcome of each pattern, for each deployment
     */
    public static List<Outcomes> run(long seed, Optional<String> pattern) {
        List<Outcomes> all = new ArrayList<>();
        for (Deployment deployment : List.of(Deployment.small(), Deployment.grown())) {
            List<Outcome> outcomes = new ArrayList<>();
            for (LoadPattern one : LoadPattern.all()) {
                if (pattern.isEmpty() || one.title().contains(pattern.get())) {
                    LoadMeasures measures = LoadSimulation.play(deployment, one, seed, LENGTH_MS);
                    outcomes.add(new Outcome(one.title(), values(measures)));
                }
            }
            all.add(new Outcomes(title(deployment, seed), COLUMNS, List.copyOf(outcomes)));
        }
        return all;
    }

    private static String title(Deployment deployment, long seed) {
        return "Load on a %s deployment: %d workers, %d hosts, seed %d"
                .formatted(deployment.name(), deployment.workers(), deployment.hosts(), seed);
    }

    private static double[] values(LoadMeasures measures) {
        return new double[] {
            measures.worth(),
            measures.worstWindow(),
            measures.worth("nightly"),
            measures.worth("pricing"),
            measures.worth("holds"),
            measures.firstStartMs(50),
            measures.firstStartMs(95),
            measures.wasted()
        };
    }

    /**
     * The outcomes on one deployment.
     *
     * @param title what was played
     * @param columns the names of the figures
     * @param outcomes the figures by pattern
     */
    public record Outcomes(String title, List<String> columns, List<Outcome> outcomes) {}

    /**
     * The outcome of one pattern.
     *
     * @param pattern its title
     * @param values the figures, as the columns name them
     */
    public record Outcome(String pattern, double[] values) {}
}
