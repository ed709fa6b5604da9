package org.acaciafold.settings;

import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The settings of one workspace, its subtree of the tree.
 *
 * @param workspace the workspace
 * @param weight its weight among the workspaces when the fleet is full, above 0
 * @param limit the most it may have running across the fleet
 * @param keys the keys that it may submit with
 * @param rehomeAfterMs milliseconds without the table after which another failure domain may run its exclusive jobs
 * @param queueLimit live requests that may wait for it at one entry host
 * @param policies the policies of its jobs
 */
public record WorkspaceSettings(
        WorkspaceId workspace,
        double weight,
        Resources limit,
        List<KeyHash> keys,
        long rehomeAfterMs,
        int queueLimit,
        WorkspacePolicies policies) {}
