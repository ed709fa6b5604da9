package org.acaciafold.coordination;

import java.util.List;

/**
 * The content of the last heartbeat of a peer.
 *
 * @param incarnation the incarnation of the peer
 * @param lastHeartbeatMs the time of receipt on this host's clock, in milliseconds
 * @param settingsVersion the version of the settings in force at the peer
 * @param slices the slices that the peer owns
 */
record PeerEntry(long incarnation, long lastHeartbeatMs, long settingsVersion, List<SliceSummary> slices) {}
