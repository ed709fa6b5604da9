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

    /** The users' target for the mean earned share of value on days with faults. */
    private static final double TARGET_VALUE_SHARE = 0.70;

    private static LoadMeasures run(LoadPattern pattern, long seed) {
        return LoadSimulation.run(Deployment.small(), pattern, seed, LENGTH_MS);
    }

    @Test
    void shouldGiveTheSameResultWhenTheSeedIsTheSame() {
        LoadPattern pattern = new LoadPattern.Burst("holds", 2, new LoadPattern.Window(4_000, 8_000));

        assertEquals(run(pattern, SEED).valueShare(), run(pattern, SEED).valueShare());
        assertNotEquals(run(pattern, SEED).valueShare(), run(pattern, SEED + 1).valueShare());
    }

    @ParameterizedTest
    @MethodSource("org.acaciafold.bench.load.LoadPattern#all")
    void shouldReachTheTargetUnderEachPattern(LoadPattern pattern) {
        LoadMeasures measures = run(pattern, SEED);

        assertTrue(measures.valueShare() >= TARGET_VALUE_SHARE, pattern.title() + " earned " + measures.valueShare());
    }

    @Test
    void shouldCountWorkThatFailsAsWasted() {
        LoadMeasures measures = run(new LoadPattern.FailingWorkers(0.3, new LoadPattern.Window(2_000, 10_000)), SEED);

        assertTrue(measures.wastedShare() > run(new LoadPattern.Steady(), SEED).wastedShare());
    }
}
