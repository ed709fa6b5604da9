package org.acaciafold.core.port;

import java.util.List;

/**
 * The host list of the platform.
 *
 * @param hosts the machines that are live or about to leave
 */
public record HostList(List<HostEntry> hosts) {}
