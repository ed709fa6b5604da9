package org.acaciafold.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;

import org.HdrHistogram.Histogram;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.placement.PlacementFeature;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Measures how the cost of placement decisions scales with workers, queued jobs and start rates. */
final class DecisionsBench {
    private static final int[] WORKERS = {30, 300, 1_500, 12_000};
    private static final int[] QUEUED_JOBS = {1_000, 10_000, 100_000};
    private static final int WORKERS_FOR_QUEUED_JOBS = 1_500;
    private static final int WORKSPACES = 61;
    private static final int STEPS = 20_000;
    private static final int BASELINE_STEPS = 100;
    private static final long MAX_DECISION_NANOS = 60_000_000_000L;
    private static final double MIB = 1024.0 * 1024;
    private static final int TICKS_PER_SECOND = 100;
    private static final int RATE_SECONDS = 10;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final long seed;

    private DecisionsBench(long seed) {
        this.seed = seed;
    }

    private record Cost(double p50Micros, double p99Micros, double cpuMicros, double heapMib, int running) {}

    /** Runs all measurements. */
    static List<ResultTable> run(long seed) throws AcaciafoldException {
        DecisionsBench bench = new DecisionsBench(seed);
        List<ResultTable> tables = new ArrayList<>();
        bench.warmUp();
        tables.addAll(bench.measureScaling("workers", WORKERS, true));
        tables.addAll(bench.measureScaling("queued jobs", QUEUED_JOBS, false));
        tables.add(bench.measureRates());
        tables.add(runJmh());
        return tables;
    }

    private void warmUp() {
        for (Policy policy : Policy.values()) {
            measureCost(policy, WORKERS[0], QUEUED_JOBS[0]);
        }
    }

    private List<ResultTable> measureScaling(String unit, int[] sizes, boolean workers) {
        List<String> columns = new ArrayList<>();
        for (int size : sizes) {
            columns.add("%,d %s".formatted(size, unit));
        }
        ResultTable p50 = new ResultTable("Decision, p50, microseconds", columns, ResultTable.Better.LOWER);
        ResultTable p99 = new ResultTable("Decision, p99, microseconds", columns, ResultTable.Better.LOWER);
        ResultTable cpu = new ResultTable("CPU of a decision, microseconds", columns, ResultTable.Better.LOWER);
        ResultTable heap = new ResultTable("Memory of the tables, MiB", columns, ResultTable.Better.LOWER);
        ResultTable running = new ResultTable("Running tasks", columns, ResultTable.Better.NEITHER);
        for (Policy policy : Policy.values()) {
            List<Cost> costs = new ArrayList<>();
            for (int size : sizes) {
                costs.add(
                        workers
                                ? measureCost(policy, size, 1_000)
                                : measureCost(policy, WORKERS_FOR_QUEUED_JOBS, size));
            }
            p50.add(policy.label(), costs.stream().mapToDouble(Cost::p50Micros).toArray());
            p99.add(policy.label(), costs.stream().mapToDouble(Cost::p99Micros).toArray());
            cpu.add(policy.label(), costs.stream().mapToDouble(Cost::cpuMicros).toArray());
            heap.add(policy.label(), costs.stream().mapToDouble(Cost::heapMib).toArray());
            running.add(
                    policy.label(), costs.stream().mapToDouble(Cost::running).toArray());
        }
        return List.of(p50, p99, cpu, heap, running);
    }

    private Cost measureCost(Policy policy, int workers, int queued) {
        double before = usedMib();
        SteadySlice slice = SteadySlice.of(
                policy.createEngine(seed, EnumSet.noneOf(PlacementFeature.class)), workers, WORKSPACES, queued, seed);
        boolean baseline = policy == Policy.FIRST_FIT_FIFO || policy == Policy.LEAST_LOADED;
        int steps = baseline ? BASELINE_STEPS : STEPS;
        for (int i = 0; i < steps / 2; i++) {
            slice.step(1);
        }
        Histogram nanos = new Histogram(MAX_DECISION_NANOS, 3);
        int started = 0;
        long cpu = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < steps; i++) {
            long begin = System.nanoTime();
            started += slice.step(1);
            nanos.recordValue(System.nanoTime() - begin);
        }
        cpu = THREADS.getCurrentThreadCpuTime() - cpu;
        double heap = usedMib() - before;
        return new Cost(
                nanos.getValueAtPercentile(50) / 1e3,
                nanos.getValueAtPercentile(99) / 1e3,
                cpu / 1e3 / Math.max(1, started),
                heap,
                slice.running());
    }

    /** Measures the target start rates at 100 ticks per second. */
    private ResultTable measureRates() {
        ResultTable table = new ResultTable(
                "Rates, with 100 ticks a second",
                List.of("starts a second", "running tasks", "percent of a core", "tick p99, microseconds"),
                ResultTable.Better.NEITHER);
        measureRate(table, "today: 60 workers, 12 workspaces", 60, 12, 5_000);
        measureRate(table, "one domain: 1,500 workers, 61 workspaces", 1_500, 61, 1_400);
        measureRate(table, "fleet: 12,000 workers, 61 workspaces", 12_000, 61, 11_000);
        return table;
    }

    private void measureRate(ResultTable table, String name, int workers, int workspaces, int perSecond) {
        SteadySlice slice = SteadySlice.of(
                Policy.ACACIAFOLD.createEngine(seed, EnumSet.noneOf(PlacementFeature.class)),
                workers,
                workspaces,
                1_000,
                seed);
        int perTick = perSecond / TICKS_PER_SECOND;
        for (int i = 0; i < RATE_SECONDS * TICKS_PER_SECOND; i++) {
            slice.step(perTick);
        }
        Histogram nanos = new Histogram(MAX_DECISION_NANOS, 3);
        long started = 0;
        long cpu = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < RATE_SECONDS * TICKS_PER_SECOND; i++) {
            long begin = System.nanoTime();
            started += slice.step(perTick);
            nanos.recordValue(System.nanoTime() - begin);
        }
        cpu = THREADS.getCurrentThreadCpuTime() - cpu;
        table.add(
                name,
                (double) started / RATE_SECONDS,
                slice.running(),
                100.0 * cpu / 1e9 / RATE_SECONDS,
                nanos.getValueAtPercentile(99) / 1e3);
    }

    private static ResultTable runJmh() throws AcaciafoldException {
        try {
            Collection<RunResult> results = new Runner(new OptionsBuilder()
                            .include(PlacementBenchmark.class.getName())
                            .forks(0)
                            .warmupIterations(1)
                            .warmupTime(TimeValue.seconds(1))
                            .measurementIterations(2)
                            .measurementTime(TimeValue.seconds(1))
                            .verbosity(VerboseMode.SILENT)
                            .build())
                    .run();
            ResultTable table = new ResultTable(
                    "Inner loops by JMH, microseconds", List.of("score", "workers"), ResultTable.Better.NEITHER);
            for (RunResult result : results) {
                table.add(
                        result.getPrimaryResult().getLabel(),
                        result.getPrimaryResult().getScore(),
                        Integer.parseInt(result.getParams().getParam("workers")));
            }
            return table;
        } catch (RunnerException e) {
            throw new AcaciafoldException(
                    Failure.notRun(Step.PLACEMENT, "jmh", "benchmark", String.valueOf(e.getMessage())), e);
        }
    }

    private static double usedMib() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / MIB;
    }
}
