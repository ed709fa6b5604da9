package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.placement.TablePlacementEngine;

/**
 * Defines the order in which the systems of an entry host run in each tick.
 *
 * <p>Limits are compared with new settings before the settings are acknowledged, and placement runs after both.
 */
final class Systems {
    private static final int EPOCH_SHIFT_BITS = 32;
    private static final int COUNTER_SHIFT_BITS = 20;

    private Systems() {}

    static List<HostSystem> inOrder(HostState state) {
        GroupCommit commits = GroupCommit.empty();
        JobSystem jobs = JobSystem.of(state, commits);
        SubmitSystem submissions = SubmitSystem.of(state, commits, jobs);
        return List.of(
                MembershipSystem.of(state),
                OwnershipSystem.of(
                        state,
                        (slice, fence) -> TablePlacementEngine.builder(
                                        state.config().seed())
                                .lastAttempt(lastAttempt(fence))
                                .build()),
                WorkerSystem.of(state),
                jobs,
                submissions,
                CancelSystem.of(state, commits, submissions),
                JobQuerySystem.of(state),
                JobReleaseSystem.of(state, commits, submissions),
                RehomeSystem.of(state, commits, submissions),
                CommitSystem.of(commits),
                ClaimSystem.of(state),
                AllotmentSystem.of(state),
                SettingsSystem.of(state),
                RegistrationCleanup.of(state),
                EditCleanup.of(state),
                PlacementSystem.of(state),
                SlotSystem.of(state),
                StatusSystem.of(state));
    }

    /** Returns a number above the attempts of all owners with lower fencing tokens. */
    private static long lastAttempt(Fence fence) {
        return (fence.epoch() << EPOCH_SHIFT_BITS) + (fence.counter() << COUNTER_SHIFT_BITS);
    }
}
