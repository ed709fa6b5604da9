package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Reserves capacity for gangs that wait for other tasks to end. */
final class GangReservation {
    private GangReservation() {}

    /**
     * Reserves what a waiting gang needs on workers that will fit it once other tasks end, so that none start there
     * meanwhile. A gang that fits nowhere reserves nothing.
     */
    static void reserve(StepRow step, Placement placement) {
        List<FreeCapacity> ordered = new ArrayList<>(placement.usable(step));
        ordered.removeIf(capacity -> Placement.vacanciesWhenReleased(step, capacity) == 0);
        long fits = ordered.stream()
                .mapToLong(capacity -> Placement.vacanciesWhenReleased(step, capacity))
                .sum();
        if (fits < step.spec.count()) {
            return;
        }
        ordered.sort(Comparator.comparingLong(FreeCapacity::cpuMillis).reversed());
        int missing = step.spec.count();
        for (FreeCapacity capacity : ordered) {
            int members = Math.min(missing, Placement.vacanciesWhenReleased(step, capacity));
            capacity.reserve(step.spec.each(), members);
            missing -= members;
        }
    }
}
