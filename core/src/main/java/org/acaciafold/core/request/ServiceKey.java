package org.acaciafold.core.request;

import org.acaciafold.core.model.WorkspaceId;

/**
 * The key of a service. Names are unique within a workspace.
 *
 * @param workspace the workspace that submitted it
 * @param name its name
 */
public record ServiceKey(WorkspaceId workspace, String name) implements Comparable<ServiceKey> {
    @Override
    public int compareTo(ServiceKey that) {
        int byWorkspace = workspace.compareTo(that.workspace);
        return byWorkspace != 0 ? byWorkspace : name.compareTo(that.name);
    }
}
