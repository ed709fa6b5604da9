package org.acaciafold.coordination;

import org.acaciafold.core.model.WorkspaceId;

/**
 * What an owner tells its peers of a service.
 *
 * @param service the name of the service
 * @param workspace its workspace
 * @param replicas replicas that answer
 * @param freeSlots live requests that could start now
 * @param waiting live requests that wait
 */
public record ServiceSummary(String service, WorkspaceId workspace, int replicas, int freeSlots, int waiting) {}
