package org.acaciafold.settings;

import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.ServicePolicy;

/**
 * The placement policies of a workspace.
 *
 * @param service the policy for services
 * @param batch the policy for batch jobs
 * @param gang the policy for gangs, whose tasks start together or not at all
 */
public record WorkspacePolicies(ServicePolicy service, BatchPolicy batch, GangPolicy gang) {}
