package org.acaciafold.coordination;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;

/**
 * The table row that divides the upper limit of a workspace among the slices.
 *
 * @param issued the limit that the shares and the unassigned part add up to
 * @param shares the resources that the running tasks of each slice may use
 */
record AllotmentRow(Resources issued, Map<SliceId, AllotmentShare> shares) {
    AllotmentRow {
        shares = new TreeMap<>(shares);
    }

    static AllotmentRow of(Resources issued) {
        return new AllotmentRow(issued, Map.of());
    }

    /** Returns the row with another limit, or with the sum of the shares where that is higher. */
    AllotmentRow issue(Resources limit) {
        return new AllotmentRow(limit.max(assigned()), shares);
    }

    /** Returns the sum of what the other slices request beyond their shares. */
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

    /** Returns the part of the limit that is not assigned to any slice. */
    @JsonIgnore
    Resources unassigned() {
        return issued.minus(assigned()).max(Resources.empty());
    }

    /** Returns the row with the share of one slice replaced. */
    AllotmentRow with(SliceId slice, AllotmentShare share) {
        Map<SliceId, AllotmentShare> changed = new TreeMap<>(shares);
        changed.put(slice, share);
        return new AllotmentRow(issued, changed);
    }
}
