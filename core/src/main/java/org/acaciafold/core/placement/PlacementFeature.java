package org.acaciafold.core.placement;

/** Parts of the placement policy that can be left out, to measure what each of them brings. */
public enum PlacementFeature {
    /** Learns run times by job name. */
    ESTIMATES,
    /** Reserves room for all-at-once jobs and fills it with jobs that end in time. */
    RESERVATION,
    /** Checkpoints the tasks of workspaces above their share for workspaces below it, and low ones for urgent ones. */
    RECLAIM,
    /** Quarantines workers on which unlike jobs fail. */
    SET_ASIDE,
    /** Starts the jobs of workspaces below their share before those of other workspaces, in all classes but urgent. */
    SHARE_FIRST,
    /** Prefers the candidate with the least room left. */
    TIGHT_FIT
}
