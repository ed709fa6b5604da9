package org.acaciafold.coordination;

import org.acaciafold.core.model.WorkspaceId;

/**
 * The summary of a service that the owner of a slice sends to its peers.
 *
 * @param service the name of the service
 * @param workspace the workspace of the service
 * @param replicas the number of available replicas
 * @param freeSlots the number of live requests that could start now
 * @param waiting the number of live requests that wait
 */
public record ServiceSummary(String service, WorkspaceId workspace, int replicas, int freeSlots, int waiting) {}
