package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Workspace;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers the rates of workspaces while the wall clocks of hosts differ or are set. */
class WorkspaceRateClockTest {
    private static final long CLOCK_DIFFERENCE_MS = 3_600_000;

    /** Far longer than a workspace takes to be entitled to its next job. */
    private static final long LATER_MS = 3_000;

    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));

    @BeforeEach
    void entitleTwoWorkspacesToAJobASecond() {
        fixture.scheduler.configure(
                FleetConfig.of(2, List.of(), List.of(workspace("north"), workspace("south"))), Set.of());
    }

    private static Workspace workspace(String name) {
        return new Workspace(name, Set.of(name), 1, Resources.empty());
    }

    private Effect.Start acceptAndStart(long acceptedAtMs) {
        accept("first", "north", acceptedAtMs);
        return fixture.confirmedStarts().getFirst();
    }

    private void accept(String id, String workspace, long acceptedAtMs) {
        fixture.scheduler.accept(new Job(
                id,
                route(1, 4, Optional.empty()),
                workspace,
                "spec",
                List.of(step(1, 1_000).build()),
                0,
                0,
                0,
                acceptedAtMs));
    }

    /** Returns the next job that starts once the first one has ended. */
    private String nextAfter(Effect.Start first) {
        fixture.leaseRenewed("a", List.of(), List.of(end(1, first.task(), first.run(), EndKind.DONE)));
        return fixture.starts().getFirst().task().job();
    }

    /** Guards against a workspace whose jobs all count as beyond its rate, since one host's clock was ahead once. */
    @Test
    void shouldCountAJobWithinTheRateWhenAnEarlierOneCameFromAHostWhoseClockIsAhead() {
        Effect.Start first = acceptAndStart(fixture.wallMs + CLOCK_DIFFERENCE_MS);
        fixture.advance(LATER_MS);

        accept("north", "north", fixture.wallMs - 1);
        accept("south", "south", fixture.wallMs);

        assertEquals("north", nextAfter(first));
    }

    /** Guards against the same after the clock of the leader's host was set back. */
    @Test
    void shouldCountAJobWithinTheRateWhenTheClockOfTheLeaderWasSetBack() {
        Effect.Start first = acceptAndStart(fixture.wallMs);
        fixture.wallMs -= CLOCK_DIFFERENCE_MS;
        fixture.advance(1);
        accept("between", "north", fixture.wallMs);
        fixture.advance(LATER_MS);

        accept("north", "north", fixture.wallMs - 1);
        accept("south", "south", fixture.wallMs);

        assertEquals("north", nextAfter(first));
    }
}
