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

/** Measures one step of placement: a task ends, the systems run and the tasks that fit start. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {
    /** The number of workers. */
    @Param({"30", "300", "1500", "12000"})
    public int workers;

    private SteadySlice slice;

    /** Creates a slice whose workers are full. */
    @Setup
    public void setUp() {
        slice = SteadySlice.of(TablePlacementEngine.of(1), workers, 61, 1_000, 1);
    }

    /**
     * Ends one task and runs the systems.
     *
     * @return the number of started tasks
     */
    @Benchmark
    public int endAndStart() {
        return slice.step(1);
    }

    /**
     * Runs the systems without a change.
     *
     * @return the number of started tasks
     */
    @Benchmark
    public int idleTick() {
        return slice.step(0);
    }
}
