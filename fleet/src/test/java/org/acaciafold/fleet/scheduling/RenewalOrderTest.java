package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers a failure domain whose workers refuse connections, in a fleet of the size that the design is for. */
class RenewalOrderTest {
    /** More than a tick every 4 ms asks with 32 renewals each, when each fails at once and is due again 400 ms later. */
    private static final int LOST_WORKERS = 3_600;

    private static final long TICK_MS = 4;

    /** A worker that has not answered for 3.5 s gets no tasks. */
    private static final long LATER_MS = 6_000;

    private final SchedulerFixture fixture = new SchedulerFixture(1);

    /** Guards against workers that are never asked since those before them in the order of names always are due. */
    @Test
    void shouldAskAWorkerThatAnswersWhenManyOthersRefuseConnections() {
        List<WorkerEntry> entries = new ArrayList<>();
        for (int i = 0; i < LOST_WORKERS; i++) {
            entries.add(worker("lost-" + i, 1_000));
        }
        entries.add(worker("z", 1_000));
        fixture.scheduler.updateRegistry(entries, true);

        for (long passedMs = 0; passedMs < LATER_MS; passedMs += TICK_MS) {
            fixture.advance(TICK_MS);
            fixture.forEach(Effect.RenewLease.class, fixture.tick(), renewal -> {
                if (renewal.worker().equals("z")) {
                    fixture.leaseRenewed("z", List.of(), List.of());
                } else {
                    fixture.scheduler.leaseRenewalFailed(renewal.worker(), false);
                }
            });
        }
        fixture.scheduler.accept(fixture.job("job", step(1, 1_000).build()));

        assertEquals(1, fixture.starts().size());
    }
}
