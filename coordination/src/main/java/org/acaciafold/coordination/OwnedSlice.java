package org.acaciafold.coordination;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.TeamId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.placement.PlacementPlane;

/** A slice that this host owns, with its placement and the allotments of its teams. */
final class OwnedSlice {
    private final SliceId id;
    private final Fence fence;
    private final PlacementPlane placement;
    private final Map<TeamId, Resources> allotments = new TreeMap<>();
    private final Map<TeamId, Resources> wanted = new TreeMap<>();
    private final Map<WorkerId, WorkerLink> links = new TreeMap<>();
    private long authorityUntilMs;
    private long tableContactMs;
    private boolean settled;
    private List<ServiceSummary> services = List.of();

    private OwnedSlice(SliceId id, Fence fence, PlacementPlane placement) {
        this.id = id;
        this.fence = fence;
        this.placement = placement;
    }

    static OwnedSlice of(SliceId id, Fence fence, PlacementPlane placement) {
        return new OwnedSlice(id, fence, placement);
    }

    /** Returns what each team may have running in this slice; written by the allotment system. */
    Map<TeamId, Resources> allotments() {
        return allotments;
    }

    /** Returns the time in milliseconds until which nobody else can have taken the slice over. */
    long authorityUntilMs() {
        return authorityUntilMs;
    }

    void authorityUntilMs(long value) {
        authorityUntilMs = value;
    }

    Fence fence() {
        return fence;
    }

    SliceId id() {
        return id;
    }

    /** Returns the workers of the slice; written by the worker system. */
    Map<WorkerId, WorkerLink> links() {
        return links;
    }

    PlacementPlane placement() {
        return placement;
    }

    /** Returns the services with replicas in this slice; written by the slot system. */
    List<ServiceSummary> services() {
        return services;
    }

    void services(List<ServiceSummary> value) {
        services = value;
    }

    /** Returns whether every member has told what runs on it, or can run nothing any more; written by the worker system. */
    boolean settled() {
        return settled;
    }

    void settled(boolean value) {
        settled = value;
    }

    /** Returns when the last answered renewal in the table was sent, in milliseconds. */
    long tableContactMs() {
        return tableContactMs;
    }

    void tableContactMs(long value) {
        tableContactMs = value;
    }

    /** Returns what each team's waiting tasks need beyond its allotment; written each tick by the placement system. */
    Map<TeamId, Resources> wanted() {
        return wanted;
    }
}
