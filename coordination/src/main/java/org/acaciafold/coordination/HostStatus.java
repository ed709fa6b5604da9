package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/**
 * The state of an entry host, for operators.
 *
 * @param host the entry host
 * @param domain its failure domain
 * @param ready whether it serves callers
 * @param tableAnswers whether the table service answers
 * @param settingsVersion the version of the settings in force at this host
 * @param owned the slices that the host owns
 * @param known the slices that its peers own
 * @param peers the reachable peers
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
