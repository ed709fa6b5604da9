package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.settings.DomainSettings;

/** Names the slices of a failure domain and assigns workers to them. */
final class Slices {
    private static final char SEPARATOR = '.';

    private Slices() {}

    /** Returns the slices of this host's failure domain in order. */
    static List<SliceId> local(HostState state) {
        DomainId domain = state.config().domain();
        int count = state.settings().domain(domain).map(DomainSettings::slices).orElse(1);
        List<SliceId> slices = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            slices.add(of(domain, index));
        }
        return slices;
    }

    static SliceId of(DomainId domain, int index) {
        return SliceId.of(domain.value() + SEPARATOR + index);
    }

    /** Returns the failure domain of a slice. */
    static DomainId domain(SliceId slice) {
        int at = slice.value().lastIndexOf(SEPARATOR);
        return DomainId.of(at < 1 ? slice.value() : slice.value().substring(0, at));
    }

    /** Returns the workers of the host list that belong to a slice of this host's failure domain. */
    static Set<WorkerId> workers(HostState state, SliceId slice) {
        List<SliceId> slices = local(state);
        Set<WorkerId> members = new TreeSet<>();
        for (HostEntry entry : state.workers().values()) {
            if (!entry.domain().equals(state.config().domain())) {
                continue;
            }
            int index = (int) Long.remainderUnsigned(StableHash.of(entry.id()), slices.size());
            if (slices.get(index).equals(slice)) {
                members.add(WorkerId.of(entry.id()));
            }
        }
        return members;
    }
}
