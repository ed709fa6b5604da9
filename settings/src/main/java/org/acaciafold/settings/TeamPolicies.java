package org.acaciafold.settings;

import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.ServicePolicy;

/**
 * The policies that a team has chosen.
 *
 * @param service for services
 * @param batch for batch runs
 * @param gang for all-at-once jobs
 */
public record TeamPolicies(ServicePolicy service, BatchPolicy batch, GangPolicy gang) {}
