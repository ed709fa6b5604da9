package org.acaciafold.bench.load;

import java.util.List;

/** What a deployment goes through; times are milliseconds after the begin of the load. */
sealed interface LoadPattern {
    /** Returns the patterns that a change of policy is held against. */
    static List<LoadPattern> all() {
        return List.of(
                new Steady(),
                new Burst("holds", 2, new Window(10_000, 14_000)),
                new Burst("nightly", 1.9, new Window(10_000, 14_000)),
                new Flood(5, new Window(8_000, 16_000)),
                new SlowWorkers(0.16, 5, new Window(8_000, 16_000)),
                new FailingWorkers(0.14, new Window(8_000, 16_000)),
                new DomainLost(new Window(12_000, 18_000)),
                new SlowStore(250, new Window(10_000, 15_000)),
                new LeaderLost(12_000));
    }

    /** Returns a short name for tables. */
    default String title() {
        return switch (this) {
            case Steady ignored -> "steady";
            case Burst burst -> "burst of " + burst.jobClass();
            case Flood ignored -> "one workspace floods";
            case SlowWorkers ignored -> "slow workers";
            case FailingWorkers ignored -> "failing workers";
            case DomainLost ignored -> "failure domain cut off";
            case SlowStore ignored -> "slow store";
            case LeaderLost ignored -> "leader lost";
        };
    }

    /**
     * A span of time.
     *
     * @param fromMs its begin
     * @param toMs its end
     */
    record Window(long fromMs, long toMs) {
        boolean contains(long atMs) {
            return atMs >= fromMs && atMs < toMs;
        }
    }

    /** Nothing but the usual load. */
    record Steady() implements LoadPattern {}

    /**
     * Jobs of one kind come more often.
     *
     * @param jobs the kind
     * @param factor how often, against the usual
     * @param window when
     */
    record Burst(String jobClass, double factor, Window window) implements LoadPattern {}

    /**
     * One workspace sends many times its usual.
     *
     * @param factor how much, against the usual
     * @param window when
     */
    record Flood(double factor, Window window) implements LoadPattern {}

    /**
     * Tasks take longer on some workers.
     *
     * @param share which part of the workers
     * @param factor how many times as long
     * @param window when
     */
    record SlowWorkers(double share, double factor, Window window) implements LoadPattern {}

    /**
     * Tasks fail soon after their start on some workers.
     *
     * @param share which part of the workers
     * @param window when
     */
    record FailingWorkers(double share, Window window) implements LoadPattern {}

    /**
     * The workers of one failure domain answer nothing, and run on.
     *
     * @param window when
     */
    record DomainLost(Window window) implements LoadPattern {}

    /**
     * Transactions take longer.
     *
     * @param delayMs how long
     * @param window when
     */
    record SlowStore(long delayMs, Window window) implements LoadPattern {}

    /**
     * The leader dies, and another one begins a term.
     *
     * @param atMs when
     */
    record LeaderLost(long atMs) implements LoadPattern {}
}
