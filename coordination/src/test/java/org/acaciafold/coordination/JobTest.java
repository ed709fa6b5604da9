package org.acaciafold.coordination;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class JobTest {
    private Cell cell;
    private CellHost owner;
    private CellHost other;

    @BeforeEach
    void start() {
        cell = Cell.of(2, 3, "east");
        owner = cell.owner("east");
        other = cell.other(owner);
    }

    // -- submit

    @Test
    void shouldReportUnknownWhenTheTableNeverReplies() {
        cell.tableUp(false);

        ClientReply reply = cell.call(other, submit("", 1));

        assertEquals(Outcome.UNKNOWN, failure(reply).failure().outcome());
    }

    @Test
    void shouldReportNotRunWhenNoOwnerIsKnown() {
        Cell empty = Cell.of(1, 0, "east");
        CellHost host = empty.addHost("lonely", "west");
        empty.advance(100);

        ClientReply reply = empty.call(host, submit("", 1));

        assertEquals(Outcome.NOT_RUN, failure(reply).failure().outcome());
    }

    @Test
    void shouldReturnTheFirstJobWhenASubmissionIsRepeatedAtAnotherHost() {
        ClientReply.Submitted first = (ClientReply.Submitted) cell.call(owner, submit("k", 1));
        ClientReply.Submitted second = (ClientReply.Submitted) cell.call(other, submit("k", 1));

        assertEquals(first.job(), second.job());
        cell.await(10_000, () -> cell.status(owner, first.job()).phase() == JobPhase.SUCCEEDED);
        assertEquals(1, cell.starts(first.job()));
    }

    @Test
    void shouldRejectAnotherSubmissionUnderTheSameKey() {
        cell.call(owner, submit("k", 1));

        assertEquals(
                "key-reused",
                failure(cell.call(other, submit("k", 2))).failure().code());
    }

    @Test
    void shouldCreateTheJobOnceWhenTheTableReplyIsLost() {
        AtomicInteger lost = new AtomicInteger();
        cell.dropTableReplies(request -> writes(request, "job/") && lost.getAndIncrement() == 0);

        JobId job = cell.submit(other, Cell.batch(1, true, "run=100"));
        cell.await(10_000, () -> cell.status(other, job).phase() == JobPhase.SUCCEEDED);

        assertEquals(1, cell.starts(job));
    }

    // -- ends

    @Test
    void shouldAcknowledgeAnEndOnlyWhenItIsRecorded() {
        JobId job = cell.submit(other, Cell.batch(1, false, "run=2000 result=ok"));
        cell.await(10_000, () -> cell.starts(job) == 1);
        cell.tableUp(false);
        cell.advance(10_000);

        owner.kill();
        cell.advance(10_000);
        cell.tableUp(true);
        cell.await(20_000, () -> cell.status(other, job).phase() == JobPhase.SUCCEEDED);

        assertEquals(1, cell.starts(job));
        assertEquals(List.of("ok"), cell.status(other, job).results());
    }

    @Test
    void shouldRecordTheEndOnceWhenTheTableReplyIsLost() {
        AtomicInteger lost = new AtomicInteger();
        cell.dropTableReplies(request -> writes(request, "ended/") && lost.getAndIncrement() == 0);
        JobId job = cell.submit(other, Cell.batch(2, false, "run=100 result=ok"));

        cell.await(20_000, () -> cell.status(other, job).phase() == JobPhase.SUCCEEDED);

        assertEquals(List.of("ok", "ok"), cell.status(other, job).results());
        assertEquals(2, cell.starts(job));
    }

    // -- start

    @Test
    void shouldKeepTheReservationWhenTheReplyToAStartIsLost() {
        cell.dropWorkerReplies(command -> command instanceof WorkerCommand.Start);
        JobId job = cell.submit(other, Cell.batch(3, true, "run=10000"));

        cell.await(20_000, () -> cell.running(job, "east") == 3);
        cell.advance(5_000);

        assertEquals(3, cell.starts(job));
        assertEquals(3, cell.status(other, job).running());
    }

    @Test
    void shouldRestartATaskOnlyWhenTheLeaseOfItsDeadWorkerHasExpired() {
        JobId job = cell.submit(other, Cell.batch(1, true, "run=500000"));
        cell.await(10_000, () -> cell.running(job, "east") == 1);
        String worker = cell.workerOf(job);
        cell.kill(worker);

        cell.advance(20_000);
        assertEquals(1, cell.starts(job));
        cell.await(30_000, () -> cell.starts(job) == 2);
        assertNotEquals(worker, cell.workerOf(job));
    }

    // -- query

    @Test
    void shouldRejectCallsForAJobOfAnotherWorkspace() {
        JobId job = cell.submit(owner, Cell.service(1));
        WorkspaceId otherWorkspace = WorkspaceId.of("south");

        for (CellHost host : List.of(owner, other)) {
            ClientReply queried = cell.call(host, new ClientCall.QueryJob(otherWorkspace, job));
            ClientReply cancelled = cell.call(host, new ClientCall.Cancel(otherWorkspace, job));
            assertEquals("forbidden", failure(queried).failure().code());
            assertEquals("forbidden", failure(cancelled).failure().code());
        }
    }

    @Test
    void shouldReportNotFoundWhenTheJobDoesNotExist() {
        ClientReply reply = cell.call(other, new ClientCall.QueryJob(Cell.WORKSPACE, JobId.of("east.0~x.1.1")));

        assertEquals("not-found", failure(reply).failure().code());
    }

    // -- cancel

    @Test
    void shouldStopAndRecordACancelledJob() {
        JobId job = cell.submit(other, Cell.service(2));
        cell.await(10_000, () -> cell.running(job, "east") == 2);

        assertInstanceOf(ClientReply.Cancelling.class, cell.call(other, new ClientCall.Cancel(Cell.WORKSPACE, job)));
        cell.await(10_000, () -> cell.status(other, job).phase() == JobPhase.CANCELLED);

        assertEquals(0, cell.running(job, "east"));
    }

    // -- unschedulable

    @Test
    void shouldReportTheLargestTaskThatFitsWhenAJobCanNeverRun() {
        JobRequest large = new JobRequest(
                "large",
                new org.acaciafold.core.model.JobKind.Gang(1),
                org.acaciafold.core.model.Resources.of(100_000, 256, 0),
                org.acaciafold.core.model.Priority.NORMAL,
                false,
                1_000,
                "");
        JobId job = cell.submit(other, large);

        cell.await(20_000, () -> cell.status(other, job).phase() == JobPhase.FAILED);

        assertTrue(cell.status(other, job).problem().orElseThrow().contains("the largest task that fits has"));
    }

    private static ClientReply.Failed failure(ClientReply reply) {
        return assertInstanceOf(ClientReply.Failed.class, reply);
    }

    private static ClientCall submit(String key, int tasks) {
        return new ClientCall.Submit(Cell.WORKSPACE, key, Cell.batch(tasks, true, "run=100"));
    }

    private static boolean writes(TableRequest request, String prefix) {
        return request instanceof TableRequest.Commit commit
                && commit.writes().stream().anyMatch(write -> write.key().startsWith(prefix));
    }
}
