package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RehomeTest {
    private static final long REHOME_AFTER_MS = 60_000;
    private static final long TASK_LEASE_MS = 30_000;

    private final Cell cell = Cell.of(2, 3, "east", "west");
    private final CellHost west = cell.owner("west");

    // -- first home

    @Test
    void shouldSpreadJobsThatAreSubmittedInARow() {
        List<JobId> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            jobs.add(cell.submit(west, Cell.batch(20, false, "run=20000")));
        }
        long inEast = jobs.stream()
                .filter(job -> JobIds.firstHome(job).equals(cell.slice("east")))
                .count();

        assertTrue(inEast >= 2 && inEast <= 4, inEast + " of 6 jobs in one of two equal domains");
    }

    // -- planned

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldFinishElsewhereWhenTheDomainIsTakenOut(boolean exclusive) {
        CellHost east = cell.owner("east");
        JobId job = cell.submit(west, Cell.batch(4, exclusive, "run=20000"));
        cell.await(10_000, () -> cell.running(job, "east") + cell.running(job, "west") == 4);
        String from = cell.running(job, "east") > 0 ? "east" : "west";
        String to = from.equals("east") ? "west" : "east";

        cell.edit("domain/" + from, "[domain]\ntaken-out = true\n");
        cell.await(20_000, () -> cell.running(job, to) == 4);

        assertEquals(0, cell.running(job, from));
        assertEquals(cell.slice(to), cell.status(east, job).home());
        cell.await(60_000, () -> cell.status(west, job).phase() == JobPhase.SUCCEEDED);
    }

    @Test
    void shouldKeepReplicasRunningWhenAServiceMoves() {
        JobId job = cell.submit(west, Cell.service(2));
        cell.await(10_000, () -> running(job) == 2);
        String from = cell.running(job, "east") > 0 ? "east" : "west";

        cell.edit("domain/" + from, "[domain]\ntaken-out = true\n");

        cell.await(20_000, () -> cell.running(job, from) == 0 && running(job) == 2);
    }

    // -- owner cut off from the table

    @Test
    void shouldRunAnExclusiveJobElsewhereOnlyWhenItsFormerOwnerCannot() {
        JobId job = cell.submit(west, Cell.batch(1, true, "run=500000"));
        cell.await(10_000, () -> running(job) == 1);
        String from = cell.running(job, "east") > 0 ? "east" : "west";
        String to = from.equals("east") ? "west" : "east";

        cell.cutDomainFromTable(from, true);
        long cutMs = cell.nowMs();
        cell.await(4 * REHOME_AFTER_MS, () -> {
            assertTrue(running(job) <= 1);
            return cell.running(job, to) == 1;
        });
        assertTrue(cell.nowMs() - cutMs >= REHOME_AFTER_MS + TASK_LEASE_MS);

        cell.cutDomainFromTable(from, false);
        cell.advance(60_000);
        assertEquals(0, cell.running(job, from));
        assertEquals(1, running(job));
    }

    @Test
    void shouldCheckpointExclusiveTasksAndKeepServicesDuringALongTableOutage() {
        JobId exclusive = cell.submit(west, Cell.batch(1, true, "run=500000"));
        JobId service = cell.submit(west, Cell.service(2));
        cell.await(10_000, () -> running(exclusive) == 1 && running(service) == 2);

        cell.tableUp(false);
        cell.advance(REHOME_AFTER_MS + TASK_LEASE_MS);

        assertEquals(0, running(exclusive));
        assertEquals(2, running(service));
        cell.tableUp(true);
        cell.await(30_000, () -> running(exclusive) == 1);
    }

    // -- names

    @Test
    void shouldNameTheDomainOfASlice() {
        SliceId slice = cell.slice("east");

        assertEquals("east", Slices.domain(slice).value());
    }

    private long running(JobId job) {
        return cell.running(job, "east") + cell.running(job, "west");
    }
}
