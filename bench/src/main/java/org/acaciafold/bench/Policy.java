package org.acaciafold.bench;

import java.util.EnumSet;
import java.util.Set;

import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.PlacementFeature;
import org.acaciafold.core.placement.TablePlacementEngine;

/** The engines that are compared. */
enum Policy {
    /** In the order of submission, on the first worker with room. */
    FIRST_FIT_FIFO("first-fit FIFO"),
    /** In the order of submission, on the worker with most room. */
    LEAST_LOADED("least-loaded"),
    /** The engine of this project before it had shares first, preemption, reservations, estimates and quarantine. */
    FIRST_VERSION("first version"),
    /** The engine of this project. */
    ACACIAFOLD("acaciafold");

    private final String label;

    Policy(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Returns an empty engine; ours without the given parts. */
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
