package org.acaciafold.settings;

import org.acaciafold.core.model.DomainId;

/**
 * The settings of one failure domain.
 *
 * @param domain the failure domain
 * @param takenOut whether operators have taken it out of service
 * @param slices into how many slices its workers are divided, at least 1
 */
public record DomainSettings(DomainId domain, boolean takenOut, int slices) {}
