package org.acaciafold.coordination;

import java.util.Map;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class AllotmentTest {
    private static final SliceId HERE = SliceId.of("a.0");
    private static final SliceId THERE = SliceId.of("b.0");
    private static final Resources NONE = Resources.empty();

    // -- need

    @ParameterizedTest
    @CsvSource({"4,0,4", "0,0,0", "0,4,4", "4,8,8", "12,0,10"})
    void shouldCountOnlyDemandThatCouldRunNow(long freeCores, long fairCores, long usableCores) {
        AllotmentDemand need = AllotmentDemand.of(NONE, tasks(10), freeCapacity(freeCores), freeCapacity(fairCores));

        assertEquals(tasks(usableCores), need.usable());
    }

    // -- target

    @Test
    void shouldReleaseUnusedShareWhenAnotherSliceNeedsIt() {
        AllotmentDemand full = AllotmentDemand.of(tasks(4), tasks(20), NONE, NONE);

        Resources target = AllotmentTargets.target(row(20, 8), HERE, tasks(20), full, 4);

        assertEquals(tasks(12), target);
    }

    @Test
    void shouldKeepUnusedShareWhenNoOtherSliceNeedsIt() {
        AllotmentDemand idle = AllotmentDemand.of(tasks(4), tasks(4), tasks(4), NONE);

        assertEquals(tasks(20), AllotmentTargets.target(row(20, 0), HERE, tasks(20), idle, 4));
    }

    @Test
    void shouldShrinkProportionallyWhenTheLimitIsLowered() {
        AllotmentDemand need = AllotmentDemand.of(tasks(20), tasks(20), NONE, NONE);

        assertEquals(tasks(5), AllotmentTargets.target(row(20, 0), HERE, tasks(5), need, 4));
    }

    private static AllotmentRow row(long share, long wantedThere) {
        Fence fence = Fence.of(1, 0);
        return new AllotmentRow(
                tasks(20),
                Map.of(
                        HERE, new AllotmentShare(fence, tasks(share), NONE),
                        THERE, new AllotmentShare(fence, NONE, tasks(wantedThere))));
    }

    /** Returns the total resources of tasks that need one core and 1 GiB each. */
    private static Resources tasks(long count) {
        return Resources.of(1_000 * count, 1_024 * count, 0);
    }

    /** Returns free capacity with the given number of cores and ample memory. */
    private static Resources freeCapacity(long cores) {
        return Resources.of(1_000 * cores, 1_000_000, 0);
    }
}
