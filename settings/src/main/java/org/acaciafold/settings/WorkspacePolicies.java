package org.acaciafold.settings;

import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.ServicePolicy;

/**
 * The policies that a workspace has chosen.
 *
 * @param service for services
 * @param batch for batch runs
 * @param gang for all-at-once jobs
 */
public record WorkspacePolicies(ServicePolicy service, BatchPolicy batch, GangPolicy gang) {}
