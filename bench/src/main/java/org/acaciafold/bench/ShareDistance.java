package org.acaciafold.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TeamId;
import org.acaciafold.core.placement.PlacementPlane;

/**
 * How far each team is below its share of what is in use, averaged over the samples.
 *
 * <p>The share is the weighted max-min one of the dominant shares, over what each team holds or has waiting.
 */
final class ShareDistance {
    private static final int ROUNDS = 64;

    private final Map<TeamId, Double> weights;
    private final Map<TeamId, Double> below = new HashMap<>();
    private final Map<TeamId, Double> due = new HashMap<>();
    private final Map<TeamId, Resources> wanted = new HashMap<>();

    ShareDistance(Map<TeamId, Double> weights) {
        this.weights = weights;
    }

    /** Changes what a team wants, waiting or running. */
    void want(TeamId team, Resources change) {
        wanted.merge(team, change, Resources::plus);
    }

    void sample(List<PlacementPlane> planes, Resources capacity) {
        Map<TeamId, Double> held = new HashMap<>();
        double total = 0;
        for (TeamId team : weights.keySet()) {
            Resources used = Resources.empty();
            for (PlacementPlane plane : planes) {
                used = used.plus(plane.usage(team));
            }
            held.put(team, used.dominantShare(capacity));
            total += held.get(team);
        }
        Map<TeamId, Double> fair = fair(Math.min(1, total), capacity);
        fair.forEach((team, share) -> {
            below.merge(team, Math.max(0, share - held.get(team)), Double::sum);
            due.merge(team, share, Double::sum);
        });
    }

    /** Returns the part of their shares that the teams missed. */
    double mean() {
        return sum(below) / Math.max(1e-9, sum(due));
    }

    /** Returns the part of its share that the team missed which missed most. */
    double worst() {
        return due.keySet().stream()
                .mapToDouble(team -> below.get(team) / Math.max(1e-9, due.get(team)))
                .max()
                .orElse(0);
    }

    /** Fills all teams up in step until they have what they want or the total is given out. */
    private Map<TeamId, Double> fair(double total, Resources capacity) {
        Map<TeamId, Double> shares = new HashMap<>();
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

    private void fill(Map<TeamId, Double> shares, double level, Resources capacity) {
        weights.forEach((team, weight) -> {
            double want = wanted.getOrDefault(team, Resources.empty()).dominantShare(capacity);
            shares.put(team, Math.min(want, level * weight));
        });
    }

    private static double sum(Map<TeamId, Double> values) {
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
