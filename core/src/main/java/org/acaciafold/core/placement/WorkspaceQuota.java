package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/**
 * What one workspace may have in one slice.
 *
 * @param weight its weight among the workspaces, above 0
 * @param allotment the most it may have running in the slice
 * @param service its policy for services
 * @param batch its policy for batch runs
 * @param gang its policy for all-at-once jobs
 */
public record WorkspaceQuota(
        double weight, Resources allotment, ServicePolicy service, BatchPolicy batch, GangPolicy gang) {}
