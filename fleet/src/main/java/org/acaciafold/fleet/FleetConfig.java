package org.acaciafold.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration. */
public final class FleetConfig {
    private final long version;
    private final List<Route> routes;
    private final Map<String, Workspace> workspaces = new HashMap<>();
    private final Map<String, Workspace> byKey = new HashMap<>();

    private FleetConfig(long version, List<Route> routes, List<Workspace> workspaces) {
        this.version = version;
        this.routes = List.copyOf(routes);
        for (Workspace workspace : workspaces) {
            this.workspaces.put(workspace.name(), workspace);
            workspace.keys().forEach(key -> byKey.put(key, workspace));
        }
    }

    /**
     * Creates a configuration.
     *
     * @param version its version; versions only increase
     * @param routes its queues
     * @param workspaces its workspaces
     * @return the configuration
     */
    public static FleetConfig of(long version, List<Route> routes, List<Workspace> workspaces) {
        return new FleetConfig(version, routes, workspaces);
    }

    /**
     * Finds the queue of a request: the longest matching prefix wins.
     *
     * @param host the host name of the request
     * @param path its path
     * @return the queue, when there is one
     */
    public Optional<Route> route(String host, String path) {
        Route best = null;
        for (Route route : routes) {
            boolean matches = route.host().equals(host) && path.startsWith(route.pathPrefix());
            if (matches
                    && (best == null
                            || route.pathPrefix().length() > best.pathPrefix().length())) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the queues.
     *
     * @return all queues
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Finds a workspace by its name.
     *
     * @param name the name
     * @return the workspace, when this version has it
     */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /**
     * Finds the workspace that a key belongs to.
     *
     * @param key the key
     * @return the workspace, when this version has the key
     */
    public Optional<Workspace> workspaceOf(String key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
