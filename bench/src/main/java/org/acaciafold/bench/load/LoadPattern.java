package org.acaciafold.bench.load;

import java.util.List;

/** What a deployment goes through; times are milliseconds after the begin of the load. */
sealed interface LoadPattern {
    /** Returns a short name for tables. */
    String title();

    /** Returns the patterns that a change of policy is held against. */
    static List<LoadPattern> all() {
        return List.of(
                new Steady(),
                new Burst("holds", 2, 10_000, 14_000),
                new Burst("nightly", 1.9, 10_000, 14_000),
                new Flood(5, 8_000, 16_000),
                new SlowWorkers(0.16, 5, 8_000, 16_000),
                new FailingWorkers(0.14, 8_000, 16_000),
                new DomainLost(12_000, 18_000),
                new SlowStore(250, 10_000, 15_000),
                new LeaderLost(12_000));
    }

    /** Nothing but the usual load. */
    record Steady() implements LoadPattern {
        @Override
        public String title() {
            return "steady";
        }
    }

    /**
     * Jobs of one kind come more often.
     *
     * @param jobs the kind
     * @param factor how often, against the usual
     * @param fromMs since when
     * @param toMs until when
     */
    record Burst(String jobs, double factor, long fromMs, long toMs) implements LoadPattern {
        @Override
        public String title() {
            return "burst of " + jobs;
        }
    }

    /**
     * One workspace sends many times its usual.
     *
     * @param factor how much, against the usual
     * @param fromMs since when
     * @param toMs until when
     */
    record Flood(double factor, long fromMs, long toMs) implements LoadPattern {
        @Override
        public String title() {
            return "one workspace floods";
        }
    }

    /**
     * Tasks take longer on some workers.
     *
     * @param share which part of the workers
     * @param factor how many times as long
     * @param fromMs since when
     * @param toMs until when
     */
    record SlowWorkers(double share, double factor, long fromMs, long toMs) implements LoadPattern {
        @Override
        public String title() {
            return "slow workers";
        }
    }

    /**
     * Tasks fail soon after their start on some workers.
     *
     * @param share which part of the workers
     * @param fromMs since when
     * @param toMs until when
     */
    record FailingWorkers(double share, long fromMs, long toMs) implements LoadPattern {
        @Override
        public String title() {
            return "failing workers";
        }
    }

    /**
     * The workers of one failure domain answer nothing, and run on.
     *
     * @param fromMs since when
     * @param toMs until when
     */
    record DomainLost(long fromMs, long toMs) implements LoadPattern {
        @Override
        public String title() {
            return "failure domain cut off";
        }
    }

    /**
     * Transactions take longer.
     *
     * @param delayMs how long
     * @param fromMs since when
     * @param toMs until when
     */
    record SlowStore(long delayMs, long fromMs, long toMs) implements LoadPattern {
        @Override
        public String title() {
            return "slow store";
        }
    }

    /**
     * The leader dies, and another one begins a term.
     *
     * @param atMs when
     */
    record LeaderLost(long atMs) implements LoadPattern {
        @Override
        public String title() {
            return "leader lost";
        }
    }
}
