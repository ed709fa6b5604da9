package org.acaciafold.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.acaciafold.core.placement.PlacementFeature;

/** Replays each workload against each policy and compares the measurements. */
final class PolicyBench {
    private final List<Workload> workloads;
    private final Map<Policy, List<Measures>> results = new EnumMap<>(Policy.class);

    private PolicyBench(List<Workload> workloads) {
        this.workloads = workloads;
    }

    /** Runs all replays, with the given features disabled in this project's engine. */
    static List<ResultTable> run(long seed, Set<PlacementFeature> without) {
        PolicyBench bench = new PolicyBench(Workloads.all(seed));
        for (Policy policy : Policy.values()) {
            List<Measures> measures = new ArrayList<>();
            for (Workload workload : bench.workloads) {
                measures.add(new Replay(workload, policy, seed, without).run());
            }
            bench.results.put(policy, measures);
        }
        return bench.tables();
    }

    private List<ResultTable> tables() {
        List<ResultTable> tables = new ArrayList<>();
        for (int i = 0; i < workloads.size(); i++) {
            tables.add(waitTable(i, 50));
            tables.add(waitTable(i, 99));
        }
        tables.add(measureTable(
                "Packing: part of the capacity in use while work waits", ResultTable.Better.HIGHER, Measures::packing));
        tables.add(measureTable(
                "Part of their shares that the workspaces missed",
                ResultTable.Better.LOWER,
                Measures::meanShareShortfall));
        tables.add(measureTable(
                "Part of its share missed by the worst workspace",
                ResultTable.Better.LOWER,
                Measures::worstShareShortfall));
        tables.add(measureTable(
                "Work done while a domain leaves and returns, core-seconds",
                ResultTable.Better.HIGHER,
                Measures::drainCoreSeconds));
        tables.add(measureTable("Work done in all, core-seconds", ResultTable.Better.HIGHER, Measures::coreSeconds));
        tables.add(measureTable(
                "Control cost: time in the plane for each start, microseconds",
                ResultTable.Better.LOWER,
                Measures::costMicrosPerStart));
        tables.add(measureTable("Starts decided", ResultTable.Better.NEITHER, Measures::starts));
        tables.add(measureTable("Stops decided", ResultTable.Better.NEITHER, Measures::stops));
        return tables;
    }

    private ResultTable waitTable(int workload, double percentile) {
        List<String> classes = new ArrayList<>();
        for (Measures.WaitClass waitClass : Measures.WaitClass.values()) {
            classes.add(waitClass.name().toLowerCase(java.util.Locale.ROOT));
        }
        String title =
                "Wait of %s, p%.0f, seconds".formatted(workloads.get(workload).name(), percentile);
        ResultTable table = new ResultTable(title, classes, ResultTable.Better.LOWER);
        for (Policy policy : Policy.values()) {
            Measures measures = results.get(policy).get(workload);
            double[] values = new double[classes.size()];
            for (Measures.WaitClass waitClass : Measures.WaitClass.values()) {
                values[waitClass.ordinal()] = measures.waits(waitClass).getValueAtPercentile(percentile) / 1_000.0;
            }
            table.add(policy.label(), values);
        }
        return table;
    }

    private ResultTable measureTable(String title, ResultTable.Better better, ToDoubleFunction<Measures> measure) {
        List<String> names = workloads.stream().map(Workload::name).toList();
        ResultTable table = new ResultTable(title, names, better);
        for (Policy policy : Policy.values()) {
            table.add(
                    policy.label(),
                    results.get(policy).stream().mapToDouble(measure).toArray());
        }
        return table;
    }
}
