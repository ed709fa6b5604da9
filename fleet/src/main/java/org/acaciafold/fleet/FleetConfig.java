package org.acaciafold.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration. */
public final class FleetConfig {
    private final long version;
    private final List<Route> routes;
    private final Map<String, Route> routesByName = new HashMap<>();
    private final Map<String, Workspace> workspaces = new HashMap<>();
    private final Map<String, Workspace> byKey = new HashMap<>();

    private FleetConfig(long version, List<Route> routes, List<Workspace> workspaces) {
        this.version = version;
        this.routes = List.copyOf(routes);
        routes.forEach(route -> routesByName.put(route.name(), route));
        for (Workspace workspace : workspaces) {
            this.workspaces.put(workspace.name(), workspace);
            workspace.keys().forEach(key -> byKey.put(key, workspace));
        }
    }

    /**
     * Creates a configuration.
     *
     * @param version its version; later configurations have higher versions
     * @param routes its queues
     * @param workspaces its workspaces
     * @return the configuration
     */
    public static FleetConfig of(long version, List<Route> routes, List<Workspace> workspaces) {
        return new FleetConfig(version, routes, workspaces);
    }

    /**
     * Returns the queue for a request; the longest matching path prefix takes precedence.
     *
     * @param host the host name of the request
     * @param path the path of the request
     * @return the queue; empty when none matches
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
     * Returns the queue with a name.
     *
     * @param name the name
     * @return the queue; empty when this version does not contain it
     */
    public Optional<Route> route(String name) {
        return Optional.ofNullable(routesByName.get(name));
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
     * Returns the version of the configuration.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the workspace with a name.
     *
     * @param name the name
     * @return the workspace; empty when this version does not contain it
     */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /**
     * Returns the workspace that an API key belongs to.
     *
     * @param key the key
     * @return the workspace; empty when this version does not contain the key
     */
    public Optional<Workspace> workspaceOf(String key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
