package org.acaciafold.bench.load;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadSimulationTest {
    private static final long LENGTH_MS = 16_000;
    private static final long SEED = 1;

    /** The users' target for the mean worth of days with trouble. */
    private static final double TARGET = 0.70;

    private static LoadMeasures play(LoadPattern pattern, long seed) {
        return LoadSimulation.play(Deployment.small(), pattern, seed, LENGTH_MS);
    }

    @Test
    void shouldPlayTheSameWhenTheSeedIsTheSame() {
        LoadPattern pattern = new LoadPattern.Burst("holds", 2, new LoadPattern.Window(4_000, 8_000));

        assertEquals(play(pattern, SEED).worth(), play(pattern, SEED).worth());
        assertNotEquals(play(pattern, SEED).worth(), play(pattern, SEED + 1).worth());
    }

    @ParameterizedTest
    @MethodSource("org.acaciafold.bench.load.LoadPattern#all")
    void shouldServeTheTargetUnderEachPattern(LoadPattern pattern) {
        LoadMeasures measures = play(pattern, SEED);

        assertTrue(measures.worth() >= TARGET, pattern.title() + " served " + measures.worth());
    }

    @Test
    void shouldCountWorkThatFailsAsWasted() {
        LoadMeasures measures = play(new LoadPattern.FailingWorkers(0.3, new LoadPattern.Window(2_000, 10_000)), SEED);

        assertTrue(measures.wasted() > play(new LoadPattern.Steady(), SEED).wasted());
    }
}
