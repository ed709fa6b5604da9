package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.HostEntry;

/** Orders the entry hosts of a failure domain by preference for the ownership of a slice. */
final class OwnerCandidates {
    private OwnerCandidates() {}

    /**
     * Returns the number of hosts that are preferred to this one.
     *
     * @param state the state of this host
     * @param slice the slice
     * @param nowMs the time in milliseconds
     * @return 0 for the preferred host, which is the first to take over the slice
     */
    static int rank(HostState state, SliceId slice, long nowMs) {
        List<SliceId> slices = Slices.local(state);
        Set<HostId> hosts = liveHosts(state, nowMs);
        int limit = (slices.size() + hosts.size() - 1) / hosts.size();
        Map<HostId, Integer> load = new HashMap<>();
        for (SliceId other : slices) {
            List<HostId> order = byScore(hosts, other);
            order.sort(Comparator.comparing(host -> load.getOrDefault(host, 0) >= limit));
            if (other.equals(slice)) {
                return order.indexOf(state.config().host());
            }
            load.merge(order.getFirst(), 1, Integer::sum);
        }
        return 0;
    }

    private static List<HostId> byScore(Set<HostId> hosts, SliceId slice) {
        List<HostId> order = new ArrayList<>(hosts);
        order.sort(Comparator.comparingLong(host -> StableHash.of(host.value() + '|' + slice.value())));
        return order;
    }

    private static Set<HostId> liveHosts(HostState state, long nowMs) {
        Set<HostId> hosts = new TreeSet<>();
        hosts.add(state.config().host());
        for (HostEntry entry : state.entryHosts().values()) {
            HostId host = HostId.of(entry.id());
            boolean local = entry.domain().equals(state.config().domain());
            if (local && !entry.leaving() && state.isReachable(host, nowMs)) {
                hosts.add(host);
            }
        }
        return hosts;
    }
}
