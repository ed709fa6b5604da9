package org.acaciafold.settings;

import org.acaciafold.core.model.DomainId;

/**
 * The settings of a failure domain.
 *
 * @param domain the failure domain
 * @param takenOut whether operators have taken it out of service
 * @param slices the number of slices that its workers are divided into, at least 1
 */
public record DomainSettings(DomainId domain, boolean takenOut, int slices) {}
