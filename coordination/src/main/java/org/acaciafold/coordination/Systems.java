package org.acaciafold.coordination;

import java.util.List;

/** The order in which the systems of an entry host run in each tick. */
final class Systems {
    private Systems() {}

    static List<HostSystem> inOrder(HostState state) {
        return List.of(
                MembershipSystem.of(state),
                ClaimSystem.of(state),
                AllotmentSystem.of(state),
                SettingsSystem.of(state),
                SlotSystem.of(state));
    }
}
