package org.acaciafold.bench;

import java.util.EnumSet;
import java.util.Set;

import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.PlacementFeature;
import org.acaciafold.core.placement.TablePlacementEngine;

/** The placement policies that are compared. */
enum Policy {
    /** Places in the order of submission, on the first worker with enough free capacity. */
    FIRST_FIT_FIFO("first-fit FIFO"),
    /** Places in the order of submission, on the worker with the most free processor capacity. */
    LEAST_LOADED("least-loaded"),
    /**
     * The first version of this project's engine, which had no ordering by share, preemption, reservations, estimates
     * or quarantine.
     */
    FIRST_VERSION("first version"),
    /** This project's engine. */
    ACACIAFOLD("acaciafold");

    private final String label;

    Policy(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Returns an empty engine; {@link #ACACIAFOLD} without the given features. */
    PlacementEngine createEngine(long seed, Set<PlacementFeature> without) {
        return switch (this) {
            case FIRST_FIT_FIFO -> new BaselinePlacementEngine(BaselinePlacementEngine.Choice.FIRST_FIT);
            case LEAST_LOADED -> new BaselinePlacementEngine(BaselinePlacementEngine.Choice.LEAST_LOADED);
            case FIRST_VERSION -> engineWithout(seed, EnumSet.complementOf(EnumSet.of(PlacementFeature.TIGHT_FIT)));
            case ACACIAFOLD -> engineWithout(seed, without);
        };
    }

    private static PlacementEngine engineWithout(long seed, Set<PlacementFeature> features) {
        TablePlacementEngine.Builder builder = TablePlacementEngine.builder(seed);
        features.forEach(builder::without);
        return builder.build();
    }
}
