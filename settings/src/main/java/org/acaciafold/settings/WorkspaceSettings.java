package org.acaciafold.settings;

import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The settings of a workspace, read from its subtree of the settings tree.
 *
 * @param workspace the workspace
 * @param weight the relative share of the workspace when the fleet is full, above 0
 * @param limit the resources that its jobs may use at the same time across the fleet
 * @param keys the keys that may submit jobs for it
 * @param rehomeAfterMs milliseconds without contact with the table after which another failure domain may run its
 *     exclusive jobs
 * @param queueLimit the number of its live requests that may wait at one entry host
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
