package org.acaciafold.bench;

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

    PlacementPlane plane(long seed) {
        return switch (this) {
            case FIRST_FIT_FIFO -> new BaselinePlane(BaselinePlane.Choice.FIRST_FIT);
            case LEAST_LOADED -> new BaselinePlane(BaselinePlane.Choice.LEAST_LOADED);
            case FIRST_VERSION -> firstVersion(seed);
            case ACACIAFOLD -> TablePlane.of(seed);
        };
    }

    private static PlacementPlane firstVersion(long seed) {
        TablePlane.Builder builder = TablePlane.builder(seed);
        for (PlaneFeature feature : PlaneFeature.values()) {
            if (feature != PlaneFeature.TIGHT_FIT) {
                builder.without(feature);
            }
        }
        return builder.build();
    }
}
