package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/**
 * What an entry host knows, for operators.
 *
 * @param host the entry host
 * @param domain its failure domain
 * @param ready whether it serves callers
 * @param tableAnswers whether the table service answers
 * @param settingsVersion the version of the settings in force here
 * @param owned the slices it owns
 * @param known the slices its peers own
 * @param peers the peers heard of lately
 */
public record HostStatus(
        HostId host,
        DomainId domain,
        boolean ready,
        boolean tableAnswers,
        long settingsVersion,
        List<SliceSummary> owned,
        List<SliceSummary> known,
        List<HostId> peers) {}
