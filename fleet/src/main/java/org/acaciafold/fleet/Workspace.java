package org.acaciafold.fleet;

import java.util.Set;

import org.acaciafold.core.model.Resources;

/**
 * A group of clients that submit jobs, with a share of the capacity and a resource limit.
 *
 * @param name the name of the workspace
 * @param keys the API keys of the workspace's clients
 * @param weight the share of the workspace when all capacity is in use, and its guaranteed rate in jobs per second
 * @param limit the maximum resources of its runs across all workers; 0 for a resource means no limit
 */
public record Workspace(String name, Set<String> keys, double weight, Resources limit) {
    /** Copies the keys. */
    public Workspace {
        keys = Set.copyOf(keys);
    }
}
