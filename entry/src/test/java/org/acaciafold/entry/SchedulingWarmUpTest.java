package org.acaciafold.entry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers a host that has just started and takes over leadership: its first ticks must not be slow. */
class SchedulingWarmUpTest {
    private static final int STEPS = 60;

    /** Guards against a rehearsal that gets stuck, so that only a part of the scheduler's code runs. */
    @Test
    void shouldCompleteItsJobsAsFastAsItSubmitsThem() {
        SchedulingWarmUp warmUp = new SchedulingWarmUp();

        for (int i = 0; i < STEPS; i++) {
            warmUp.step();
        }

        assertTrue(warmUp.openJobs() < STEPS / 4, () -> warmUp.openJobs() + " jobs have not ended");
    }
}
