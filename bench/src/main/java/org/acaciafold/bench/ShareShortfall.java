package org.acaciafold.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.PlacementEngine;

/**
 * Measures how far each workspace is below its fair share of the resources in use, averaged over the samples.
 *
 * <p>The fair share is the weighted max-min share of the dominant resource, bounded by the demand of the workspace's
 * running and waiting tasks.
 */
final class ShareShortfall {
    private static final int BISECTION_ROUNDS = 64;

    private final Map<WorkspaceId, Double> weights;
    private final Map<WorkspaceId, Double> shortfalls = new HashMap<>();
    private final Map<WorkspaceId, Double> fairShares = new HashMap<>();
    private final Map<WorkspaceId, Resources> demands = new HashMap<>();

    ShareShortfall(Map<WorkspaceId, Double> weights) {
        this.weights = weights;
    }

    /** Adds a change to the demand of a workspace, which covers waiting and running tasks. */
    void addDemand(WorkspaceId workspace, Resources change) {
        demands.merge(workspace, change, Resources::plus);
    }

    void sample(List<PlacementEngine> engines, Resources capacity) {
        Map<WorkspaceId, Double> used = new HashMap<>();
        double total = 0;
        for (WorkspaceId workspace : weights.keySet()) {
            Resources usage = Resources.empty();
            for (PlacementEngine engine : engines) {
                usage = usage.plus(engine.usage(workspace));
            }
            used.put(workspace, usage.dominantShare(capacity));
            total += used.get(workspace);
        }
        Map<WorkspaceId, Double> fair = computeFairShares(Math.min(1, total), capacity);
        fair.forEach((workspace, share) -> {
            shortfalls.merge(workspace, Math.max(0, share - used.get(workspace)), Double::sum);
            fairShares.merge(workspace, share, Double::sum);
        });
    }

    /** Returns the part of their fair shares that all workspaces together did not get. */
    double mean() {
        return sum(shortfalls) / Math.max(1e-9, sum(fairShares));
    }

    /** Returns the largest part of its fair share that any workspace did not get. */
    double worst() {
        return fairShares.keySet().stream()
                .mapToDouble(workspace -> shortfalls.get(workspace) / Math.max(1e-9, fairShares.get(workspace)))
                .max()
                .orElse(0);
    }

    /** Finds by bisection the common level at which the weighted shares, bounded by demand, add up to the total. */
    private Map<WorkspaceId, Double> computeFairShares(double total, Resources capacity) {
        Map<WorkspaceId, Double> shares = new HashMap<>();
        double low = 0;
        double high = 1
                / weights.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .min()
                        .orElse(1);
        for (int round = 0; round < BISECTION_ROUNDS; round++) {
            double level = (low + high) / 2;
            allocateAtLevel(shares, level, capacity);
            if (sum(shares) > total) {
                high = level;
            } else {
                low = level;
            }
        }
        allocateAtLevel(shares, low, capacity);
        return shares;
    }

    private void allocateAtLevel(Map<WorkspaceId, Double> shares, double level, Resources capacity) {
        weights.forEach((workspace, weight) -> {
            double demand = demands.getOrDefault(workspace, Resources.empty()).dominantShare(capacity);
            shares.put(workspace, Math.min(demand, level * weight));
        });
    }

    private static double sum(Map<WorkspaceId, Double> values) {
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
