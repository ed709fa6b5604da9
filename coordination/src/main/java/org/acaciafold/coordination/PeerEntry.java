package org.acaciafold.coordination;

import java.util.List;

/**
 * What a peer last told.
 *
 * @param incarnation the number of its start
 * @param heardMs when it was heard on this host's clock, in milliseconds
 * @param settingsVersion the version of the settings in force there
 * @param slices the slices it owns
 */
record PeerEntry(long incarnation, long heardMs, long settingsVersion, List<SliceSummary> slices) {}
