package org.acaciafold.bench;

import java.util.concurrent.TimeUnit;

import org.acaciafold.core.placement.TablePlacementEngine;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** The inner loop: one task ends, the systems run, what fits starts. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {
    /** The number of workers. */
    @Param({"30", "300", "1500", "12000"})
    public int workers;

    private SteadySlice slice;

    /** Fills the workers. */
    @Setup
    public void setUp() {
        slice = SteadySlice.of(TablePlacementEngine.of(1), workers, 61, 1_000, 1);
    }

    /**
     * Runs one step.
     *
     * @return how many tasks started
     */
    @Benchmark
    public int endAndStart() {
        return slice.step(1);
    }

    /**
     * Runs the systems when nothing has changed.
     *
     * @return how many tasks started
     */
    @Benchmark
    public int idleTick() {
        return slice.step(0);
    }
}
