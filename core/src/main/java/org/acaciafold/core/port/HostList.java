package org.acaciafold.core.port;

import java.util.List;

/**
 * The host list of the platform.
 *
 * @param hosts the live and leaving machines
 */
public record HostList(List<HostEntry> hosts) {}
