package org.acaciafold.bench;

import java.util.EnumSet;
import java.util.Set;

import org.acaciafold.core.placement.PlacementPlane;
import org.acaciafold.core.placement.PlaneFeature;
import org.acaciafold.core.placement.TablePlane;

/** The planes that are compared. */
enum Policy {
    /** In the order of submission, on the first worker with room. */
    FIRST_FIT_FIFO("first-fit FIFO"),
    /** In the order of submission, on the worker with most room. */
    LEAST_LOADED("least-loaded"),
    /** The plane of this project before it had shares first, reclaim, reservations, estimates and set-aside workers. */
    FIRST_VERSION("first version"),
    /** The plane of this project. */
    ACACIAFOLD("acaciafold");

    private final String label;

    Policy(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Returns an empty plane; ours without the given parts. */
    PlacementPlane plane(long seed, Set<PlaneFeature> without) {
        return switch (this) {
            case FIRST_FIT_FIFO -> new BaselinePlane(BaselinePlane.Choice.FIRST_FIT);
            case LEAST_LOADED -> new BaselinePlane(BaselinePlane.Choice.LEAST_LOADED);
            case FIRST_VERSION -> without(seed, EnumSet.complementOf(EnumSet.of(PlaneFeature.TIGHT_FIT)));
            case ACACIAFOLD -> without(seed, without);
        };
    }

    private static PlacementPlane without(long seed, Set<PlaneFeature> features) {
        TablePlane.Builder builder = TablePlane.builder(seed);
        features.forEach(builder::without);
        return builder.build();
    }
}
