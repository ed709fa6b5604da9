package org.acaciafold.coordination;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/**
 * The row of a workspace's upper limit in the table.
 *
 * @param issued the limit that the shares and the unassigned part add up to
 * @param shares what each slice may have running
 */
record AllotmentRow(Resources issued, Map<SliceId, AllotmentShare> shares) {
    AllotmentRow {
        shares = new TreeMap<>(shares);
    }

    static AllotmentRow of(Resources issued) {
        return new AllotmentRow(issued, Map.of());
    }

    /** Returns the row with another limit, or as little above it as the shares allow. */
    AllotmentRow issue(Resources limit) {
        return new AllotmentRow(limit.max(assigned()), shares);
    }

    /** Returns what the other slices need beyond their shares. */
    @JsonIgnore
    Resources wantedByOthers(SliceId slice) {
        return shares.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(slice))
                .map(entry -> entry.getValue().want())
                .reduce(Resources.empty(), Resources::plus);
    }

    AllotmentShare share(SliceId slice) {
        return shares.getOrDefault(slice, AllotmentShare.none());
    }

    /** Returns the sum of all shares. */
    @JsonIgnore
    Resources assigned() {
        return shares.values().stream().map(AllotmentShare::amount).reduce(Resources.empty(), Resources::plus);
    }

    /** Returns the part of the limit that no slice has. */
    @JsonIgnore
    Resources unassigned() {
        return issued.minus(assigned()).max(Resources.empty());
    }

    /** Returns the row with another share of one slice. */
    AllotmentRow with(SliceId slice, AllotmentShare share) {
        Map<SliceId, AllotmentShare> changed = new TreeMap<>(shares);
        changed.put(slice, share);
        return new AllotmentRow(issued, changed);
    }
}
