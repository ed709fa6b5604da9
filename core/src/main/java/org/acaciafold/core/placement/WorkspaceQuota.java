package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;

/**
 * The quota of one workspace in one slice.
 *
 * @param weight its weight among the workspaces, above 0
 * @param allotment the most resources that it may use in the slice
 * @param service its policy for services
 * @param batch its policy for batch jobs
 * @param gang its policy for gang jobs
 */
public record WorkspaceQuota(
        double weight, Resources allotment, ServicePolicy service, BatchPolicy batch, GangPolicy gang) {}
