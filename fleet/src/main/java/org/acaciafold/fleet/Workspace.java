package org.acaciafold.fleet;

import java.util.Set;

import org.acaciafold.core.model.Resources;

/**
 * Who submits jobs, with a share and an upper limit.
 *
 * @param name the name
 * @param keys the keys with which its consumers authorize themselves
 * @param weight the share when all is full, which is also the jobs a second that are owed to it
 * @param limit what it may have running across all workers; 0 of a resource means no limit
 */
public record Workspace(String name, Set<String> keys, double weight, Resources limit) {
    /** Copies the keys. */
    public Workspace {
        keys = Set.copyOf(keys);
    }
}
