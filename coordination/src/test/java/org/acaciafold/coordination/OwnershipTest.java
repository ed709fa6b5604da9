package org.acaciafold.coordination;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.TableRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OwnershipTest {
    private static final long CONTROL_LEASE_MS = 3_000;
    private static final long URGENT_START_MS = 8_100;

    // -- takeover

    @Test
    void shouldRunABatchAndAServiceWhenTheDomainHasOneHost() {
        Cell cell = Cell.of(1, 3, "east");
        CellHost host = cell.owner("east");
        JobId batch = cell.submit(host, Cell.batch(3, false, "run=500"));
        JobId service = cell.submit(host, Cell.service(2));

        cell.await(10_000, () -> cell.status(host, batch).phase() == JobPhase.SUCCEEDED);
        cell.await(10_000, () -> cell.status(host, service).running() == 2);

        assertEquals(3, cell.status(host, batch).succeeded());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldStartTasksWithinTheTargetWhenTheOwnerDies(boolean tableUp) {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        CellHost other = cell.other(owner);
        JobId service = cell.submit(owner, Cell.service(2));
        cell.await(10_000, () -> cell.running(service, "east") == 2);

        cell.tableUp(tableUp);
        owner.kill();
        cell.await(2 * URGENT_START_MS, () -> other.core().ownedSlices() == 1);
        cell.advance(2 * CONTROL_LEASE_MS);

        assertEquals(2, cell.running(service, "east"));
        cell.tableUp(true);
        JobId batch = cell.submit(other, Cell.batch(1, true, "run=100"));
        cell.await(URGENT_START_MS, () -> cell.status(other, batch).phase() == JobPhase.SUCCEEDED);
        cell.await(
                URGENT_START_MS,
                () -> cell.row("east").owner().equals(other.id().value()));
    }

    @Test
    void shouldReplaceReplicasWhenOwnerWorkerAndTableHaveFailed() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        JobId service = cell.submit(owner, Cell.service(2));
        cell.await(10_000, () -> cell.running(service, "east") == 2);

        cell.tableUp(false);
        owner.kill();
        cell.await(2 * URGENT_START_MS, () -> cell.other(owner).core().ownedSlices() == 1);
        cell.advance(CONTROL_LEASE_MS);
        cell.kill(cell.workerOf(service));

        cell.await(60_000, () -> cell.starts(service) == 3);
    }

    @Test
    void shouldNotTakeOverWhenOnlyTheTableIsUnavailable() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        JobId service = cell.submit(owner, Cell.service(2));
        cell.await(10_000, () -> cell.running(service, "east") == 2);

        cell.tableUp(false);
        cell.advance(120_000);

        assertEquals(owner, cell.owner("east"));
        assertEquals(0, cell.other(owner).core().ownedSlices());
        assertEquals(2, cell.running(service, "east"));
    }

    @Test
    void shouldNotStartTasksTwiceWhenThePausedOwnerResumes() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        CellHost other = cell.other(owner);
        JobId job = cell.submit(other, Cell.batch(2, true, "run=60000"));
        owner.pause();

        cell.await(60_000, () -> cell.running(job, "east") == 2);
        owner.resume();
        cell.advance(10_000);

        assertEquals(0, owner.core().ownedSlices());
        assertEquals(2, cell.starts(job));
    }

    @Test
    void shouldTakeOverOnceWhenTheTableReplyIsLost() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        AtomicInteger lost = new AtomicInteger();
        cell.dropTableReplies(request -> request instanceof TableRequest.Commit commit
                && commit.writes().getFirst().key().startsWith("slice/")
                && lost.getAndIncrement() < 3);
        owner.kill();

        CellHost next = cell.owner("east");
        JobId job = cell.submit(next, Cell.batch(1, true, "run=100"));
        cell.await(20_000, () -> cell.status(next, job).phase() == JobPhase.SUCCEEDED);

        assertEquals(next.id().value(), cell.row("east").owner());
        assertEquals(1, cell.starts(job));
    }

    @Test
    void shouldReleaseTheSliceWhenCutFromTheTableAndAnotherHostOwnsTheRow() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        cell.cutFromTable(owner, true);

        cell.await(30_000, () -> cell.other(owner).core().ownedSlices() == 1);
        cell.advance(2 * CONTROL_LEASE_MS);

        assertEquals(0, owner.core().ownedSlices());
    }

    @Test
    void shouldWaitForLeasesThatTheFormerOwnerRenewedUntilItLostItsMajority() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        CellHost other = cell.other(owner);
        JobId job = cell.submit(owner, Cell.batch(1, true, "run=500000"));
        cell.await(10_000, () -> cell.starts(job) == 1);
        String worker = cell.workerOf(job);
        cell.cutFromTable(owner, true);
        cell.cutFromPeers(owner);
        cell.advance(40_000);

        List.of("east-w0", "east-w1", "east-w2")
                .forEach(each -> cell.cutFromWorker(each.equals(worker) ? other : owner, each));
        cell.await(120_000, () -> {
            assertTrue(cell.running(job, "east") <= 1);
            return cell.starts(job) == 2;
        });
    }

    @Test
    void shouldNotCountLeasesOfRestartedWorkersWhenThePausedOwnerResumes() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        CellHost other = cell.other(owner);
        JobId job = cell.submit(owner, Cell.batch(1, true, "run=500000"));
        cell.await(10_000, () -> cell.starts(job) == 1);
        String worker = cell.workerOf(job);
        owner.pause();
        cell.await(30_000, () -> other.core().ownedSlices() == 1);
        cell.advance(2 * CONTROL_LEASE_MS);

        List.of("east-w0", "east-w1", "east-w2").stream()
                .filter(each -> !each.equals(worker))
                .forEach(each -> {
                    cell.cutFromWorker(other, each);
                    cell.restart(each);
                });
        cell.cutFromTable(owner, true);
        cell.cutFromPeers(owner);
        cell.cutFromWorker(owner, worker);
        owner.resume();

        for (int second = 0; second < 120; second++) {
            cell.advance(1_000);
            assertTrue(cell.running(job, "east") <= 1);
        }
    }

    // -- handover

    @Test
    void shouldHandOverWithoutWaitingForLeasesWhenStoppedGracefully() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        JobId service = cell.submit(owner, Cell.service(2));
        cell.await(10_000, () -> cell.running(service, "east") == 2);

        owner.receive(new Event.StopRequested());
        cell.await(CONTROL_LEASE_MS, () -> !owner.alive());
        cell.await(CONTROL_LEASE_MS, () -> cell.other(owner).core().ownedSlices() == 1);

        assertEquals(2, cell.running(service, "east"));
        assertEquals(2, cell.starts(service));
    }

    @Test
    void shouldStopWhenTheTableIsUnavailable() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        cell.tableUp(false);

        owner.receive(new Event.StopRequested());

        cell.await(20_000, () -> !owner.alive());
    }

    // -- members

    @Test
    void shouldRemoveADeadWorkerFromTheMembersWhenItsLeasesHaveExpired() {
        Cell cell = Cell.of(2, 3, "east");
        cell.owner("east");
        cell.kill("east-w1");

        cell.advance(10_000);
        assertEquals(3, cell.row("east").members().size());
        cell.await(60_000, () -> cell.row("east").members().size() == 2);
        cell.await(10_000, () -> cell.row("east").memberSets().size() == 1);
    }

    @Test
    void shouldKeepTheFormerMembersWhenAHostHasNotReadTheRow() {
        Cell cell = Cell.of(2, 3, "east");
        CellHost owner = cell.owner("east");
        cell.other(owner).pause();
        cell.kill("east-w1");

        cell.advance(120_000);

        assertEquals(2, cell.row("east").memberSets().size());
        assertFalse(cell.row("east").commonMembers().contains(WorkerId.of("east-w1")));
        assertTrue(owner.core().ownedSlices() == 1);
    }
}
