package org.acaciafold.settings;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The typed settings of the whole tree at one version.
 *
 * @param version the version of the tree, which only increases; 0 before the first edit
 * @param workspaces the subtrees of the workspaces
 * @param domains the subtrees of the failure domains
 * @param openServices the services whose queue is open to all callers, by service name
 */
public record FleetSettings(
        long version,
        Map<WorkspaceId, WorkspaceSettings> workspaces,
        Map<DomainId, DomainSettings> domains,
        Map<String, WorkspaceId> openServices) {
    private static final FleetSettings EMPTY = new FleetSettings(0, Map.of(), Map.of(), Map.of());

    /**
     * Copies the subtrees and sorts them by name, so that their order is the same in each process.
     *
     * @param version the version of the tree
     * @param workspaces the subtrees of the workspaces
     * @param domains the subtrees of the failure domains
     * @param openServices the services open to all callers
     */
    public FleetSettings {
        workspaces = Collections.unmodifiableMap(new TreeMap<>(workspaces));
        domains = Collections.unmodifiableMap(new TreeMap<>(domains));
        openServices = Collections.unmodifiableMap(new TreeMap<>(openServices));
    }

    /**
     * Returns the tree before the first edit.
     *
     * @return a tree of version 0 with no workspaces
     */
    public static FleetSettings empty() {
        return EMPTY;
    }

    /**
     * Returns the settings of a failure domain.
     *
     * @param domain the failure domain
     * @return its settings, or empty if it has none
     */
    public Optional<DomainSettings> domain(DomainId domain) {
        return Optional.ofNullable(domains.get(domain));
    }

    /**
     * Returns whether operators have taken a failure domain out of service.
     *
     * @param domain the failure domain
     * @return true if nothing may start there
     */
    public boolean takenOut(DomainId domain) {
        return domain(domain).map(DomainSettings::takenOut).orElse(false);
    }

    /**
     * Returns the settings of a workspace.
     *
     * @param workspace the workspace
     * @return its settings, or empty if it has none
     */
    public Optional<WorkspaceSettings> workspace(WorkspaceId workspace) {
        return Optional.ofNullable(workspaces.get(workspace));
    }
}
