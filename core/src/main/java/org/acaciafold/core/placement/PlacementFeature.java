package org.acaciafold.core.placement;

/** Parts of the placement policy that can be disabled, to measure the effect of each. */
public enum PlacementFeature {
    /** Estimates run times from earlier runs of the same job name. */
    ESTIMATES,
    /** Reserves capacity for gang jobs and jobs with large tasks, and backfills it with jobs that end in time. */
    RESERVATION,
    /** Checkpoints tasks of workspaces above their share for workspaces below it, and low ones for urgent ones. */
    RECLAIM,
    /** Quarantines workers on which different jobs fail. */
    SET_ASIDE,
    /** Starts the jobs of workspaces below their share before those of other workspaces, in all classes but urgent. */
    SHARE_FIRST,
    /** Prefers the candidate with the least free capacity after placement. */
    TIGHT_FIT
}
