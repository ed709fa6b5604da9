package org.acaciafold.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.PlacementEngine;

/**
 * How far each workspace is below its share of what is in use, averaged over the samples.
 *
 * <p>The share is the weighted max-min one of the dominant shares, over what each workspace holds or has waiting.
 */
final class ShareDistance {
    private static final int ROUNDS = 64;

    private final Map<WorkspaceId, Double> weights;
    private final Map<WorkspaceId, Double> below = new HashMap<>();
    private final Map<WorkspaceId, Double> due = new HashMap<>();
    private final Map<WorkspaceId, Resources> wanted = new HashMap<>();

    ShareDistance(Map<WorkspaceId, Double> weights) {
        this.weights = weights;
    }

    /** Changes what a workspace wants, waiting or running. */
    void want(WorkspaceId workspace, Resources change) {
        wanted.merge(workspace, change, Resources::plus);
    }

    void sample(List<PlacementEngine> engines, Resources capacity) {
        Map<WorkspaceId, Double> held = new HashMap<>();
        double total = 0;
        for (WorkspaceId workspace : weights.keySet()) {
            Resources used = Resources.empty();
            for (PlacementEngine engine : engines) {
                used = used.plus(engine.usage(workspace));
            }
            held.put(workspace, used.dominantShare(capacity));
            total += held.get(workspace);
        }
        Map<WorkspaceId, Double> fair = fair(Math.min(1, total), capacity);
        fair.forEach((workspace, share) -> {
            below.merge(workspace, Math.max(0, share - held.get(workspace)), Double::sum);
            due.merge(workspace, share, Double::sum);
        });
    }

    /** Returns the part of their shares that the workspaces missed. */
    double mean() {
        return sum(below) / Math.max(1e-9, sum(due));
    }

    /** Returns the part of its share that the workspace missed which missed most. */
    double worst() {
        return due.keySet().stream()
                .mapToDouble(workspace -> below.get(workspace) / Math.max(1e-9, due.get(workspace)))
                .max()
                .orElse(0);
    }

    /** Fills all workspaces up in step until they have what they want or the total is given out. */
    private Map<WorkspaceId, Double> fair(double total, Resources capacity) {
        Map<WorkspaceId, Double> shares = new HashMap<>();
        double low = 0;
        double high = 1
                / weights.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .min()
                        .orElse(1);
        for (int round = 0; round < ROUNDS; round++) {
            double level = (low + high) / 2;
            fill(shares, level, capacity);
            if (sum(shares) > total) {
                high = level;
            } else {
                low = level;
            }
        }
        fill(shares, low, capacity);
        return shares;
    }

    private void fill(Map<WorkspaceId, Double> shares, double level, Resources capacity) {
        weights.forEach((workspace, weight) -> {
            double want = wanted.getOrDefault(workspace, Resources.empty()).dominantShare(capacity);
            shares.put(workspace, Math.min(want, level * weight));
        });
    }

    private static double sum(Map<WorkspaceId, Double> values) {
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
