package org.acaciafold.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.bench.ResultTable;

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
     * @return a table for each deployment, with a row for each pattern
     */
    public static List<ResultTable> run(long seed, Optional<String> pattern) {
        List<ResultTable> all = new ArrayList<>();
        for (Deployment deployment : List.of(Deployment.small(), Deployment.grown())) {
            ResultTable table = new ResultTable(title(deployment, seed), COLUMNS, ResultTable.Better.NEITHER);
            for (LoadPattern candidate : LoadPattern.all()) {
                if (pattern.isEmpty() || candidate.title().contains(pattern.get())) {
                    LoadMeasures measures = LoadSimulation.run(deployment, candidate, seed, LENGTH_MS);
                    table.add(candidate.title(), values(measures));
                }
            }
            all.add(table);
        }
        return all;
    }

    private static String title(Deployment deployment, long seed) {
        return "Load on a %s deployment: %d workers, %d hosts, seed %d"
                .formatted(deployment.name(), deployment.workers(), deployment.hosts(), seed);
    }

    private static double[] values(LoadMeasures measures) {
        return new double[] {
            measures.valueShare(),
            measures.worstWindowValueShare(),
            measures.valueShare("nightly"),
            measures.valueShare("pricing"),
            measures.valueShare("holds"),
            measures.firstStartMs(50),
            measures.firstStartMs(95),
            measures.wastedShare()
        };
    }
}
