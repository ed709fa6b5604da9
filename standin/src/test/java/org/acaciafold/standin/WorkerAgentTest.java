package org.acaciafold.standin;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.StopMode;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.core.port.WorkerView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WorkerAgentTest {
    private static final Fence OLD = Fence.of(1, 0);
    private static final Fence NEW = Fence.of(2, 0);
    private static final HostId A = HostId.of("a");
    private static final HostId B = HostId.of("b");
    private static final long VALID_MS = 100;

    private final WorkerAgent agent = WorkerAgent.of(WorkerId.of("w"), Resources.of(4_000, 1_024, 0), "r", 2, 4, 1);

    // -- claim

    @ParameterizedTest
    @CsvSource({"50, false", "99, false", "100, true"})
    void shouldGrantHigherFenceWhenEarlierLeaseHasEnded(long atMs, boolean granted) {
        claim(OLD, A, 0, 0);
        WorkerReply reply = agent.command(claimOf(NEW, B, 0), atMs);
        assertEquals(granted, reply instanceof WorkerReply.Claimed);
    }

    @Test
    void shouldGrantHigherFenceAtOnceWhenReleased() {
        claim(OLD, A, 0, 0);
        agent.command(new WorkerCommand.Release(OLD), 1);
        assertInstanceOf(WorkerReply.Claimed.class, agent.command(claimOf(NEW, B, 0), 2));
    }

    @Test
    void shouldRefuseSameFenceWhenHolderDiffers() {
        claim(OLD, A, 0, 0);
        assertInstanceOf(WorkerReply.Fenced.class, agent.command(claimOf(OLD, B, 0), 500));
    }

    @Test
    void shouldKeepHolderWhenHigherClaimWasRefused() {
        long sequence = claim(OLD, A, 0, 0);
        agent.command(claimOf(NEW, B, 0), 10);
        assertInstanceOf(WorkerReply.Done.class, start(OLD, sequence, spec("x", "run=9"), 1, 20));
    }

    @Test
    void shouldRefuseLowerFenceWhenHigherWasGranted() {
        long sequence = claim(OLD, A, 0, 0);
        claim(NEW, B, 0, 200);
        assertInstanceOf(WorkerReply.Fenced.class, start(OLD, sequence, spec("x", "run=9"), 1, 201));
    }

    @ParameterizedTest
    @CsvSource({"true, 90, 1", "false, 90, 0", "true, 100, 0"})
    void shouldRenewTasksOnlyWhenSequenceIsValid(boolean known, long atMs, int running) {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, spec("x", "run=1000"), 1, 0);
        claim(OLD, A, known ? sequence : 0, atMs);
        agent.advance(160);
        assertEquals(running, agent.view(160).tasks().size());
    }

    @Test
    void shouldRepeatEndWhenItIsNotAcknowledged() {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, spec("x", "run=10"), 1, 0);
        WorkerReply.Claimed first = (WorkerReply.Claimed) agent.command(claimOf(OLD, A, sequence), 20);
        WorkerReply.Claimed second = (WorkerReply.Claimed) agent.command(claimOf(OLD, A, sequence), 30);
        assertEquals(first.ends(), second.ends());
        assertEquals(EndReason.SUCCEEDED, first.ends().getFirst().reason());
        long end = first.ends().getFirst().id();
        WorkerCommand acknowledge = new WorkerCommand.Claim(OLD, A, VALID_MS, sequence, 0, 0, 0, List.of(end));
        assertTrue(((WorkerReply.Claimed) agent.command(acknowledge, 40)).ends().isEmpty());
    }

    @Test
    void shouldOmitViewWhenHolderHasCurrentVersion() {
        WorkerReply.Claimed first = (WorkerReply.Claimed) agent.command(claimOf(OLD, A, 0), 0);
        WorkerCommand again = new WorkerCommand.Claim(OLD, A, VALID_MS, 0, 0, 0, first.version(), List.of());
        assertEquals(Optional.<WorkerView>empty(), ((WorkerReply.Claimed) agent.command(again, 1)).view());
    }

    // -- start

    @ParameterizedTest
    @CsvSource({"1, 1, already-running", "1, 2, already-running"})
    void shouldRefuseStartWhenTaskRuns(long first, long second, String code) {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, spec("x", "run=90"), first, 0);
        assertRefused(code, start(OLD, sequence, spec("x", "run=90"), second, 1));
    }

    @ParameterizedTest
    @CsvSource({"3, false", "2, false", "4, true"})
    void shouldRefuseStartWhenAttemptIsNotAboveEnded(long attempt, boolean runs) {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, spec("x", "run=5"), 3, 0);
        WorkerReply reply = start(OLD, sequence, spec("x", "run=5"), attempt, 10);
        assertEquals(runs, reply instanceof WorkerReply.Done);
    }

    @Test
    void shouldRefuseStartWhenItsLeaseExpiredAndLaterLeaseIsValid() {
        long first = claim(OLD, A, 0, 0);
        claim(OLD, A, first, 90);
        assertRefused("lease-lapsed", start(OLD, first, spec("x", "run=5"), 1, 120));
    }

    @Test
    void shouldRefuseStartWhenCapacityIsInsufficient() {
        long sequence = claim(OLD, A, 0, 0);
        UnaryOperator<String> name = suffix -> "big-" + suffix;
        start(OLD, sequence, big(name.apply("1")), 1, 0);
        assertRefused("no-capacity", start(OLD, sequence, big(name.apply("2")), 1, 0));
        assertEquals(3_000, agent.peak().cpuMillis());
    }

    @Test
    void shouldEndTaskWhenItsLeaseExpires() {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, spec("x", "run=1000"), 1, 0);
        agent.advance(149);
        assertEquals(1, agent.view(149).tasks().size());
        agent.advance(150);
        assertEquals("EXPIRED", agent.journal().getLast().detail());
    }

    // -- stop

    @ParameterizedTest
    @CsvSource({"KILL, 0, STOPPED", "CHECKPOINT, 60, CHECKPOINTED", "DRAIN, 0, STOPPED"})
    void shouldEndTaskWhenStopped(StopMode mode, long afterMs, String reason) {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, spec("x", "run=1000"), 1, 0);
        agent.command(new WorkerCommand.Stop(OLD, sequence, task("x"), 1, mode), 5);
        agent.advance(5 + afterMs);
        assertEquals(reason, agent.journal().getLast().detail());
    }

    // -- begin

    @Test
    void shouldRefuseRequestWhenAllSlotsAreInUse() {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, service(), 1, 0);
        assertInstanceOf(Admission.Admitted.class, request(sequence, 1));
        Admission.Admitted second = assertInstanceOf(Admission.Admitted.class, request(sequence, 1));
        assertRejected("no-slot", request(sequence, 1));
        agent.end(second.number(), 2);
        assertInstanceOf(Admission.Admitted.class, request(sequence, 3));
        assertEquals(2, agent.peak().slots());
    }

    @Test
    void shouldRefuseRequestWhenReplicaIsOfOtherWorkspace() {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, service(), 1, 0);
        LiveCall call = new LiveCall("r", WorkspaceId.of("other"), "shop", OLD, sequence, "");
        assertRejected("no-replica", agent.begin(call, 1));
    }

    @Test
    void shouldRefuseRequestWhenLeaseExpired() {
        long sequence = claim(OLD, A, 0, 0);
        start(OLD, sequence, service(), 1, 0);
        assertRejected("lease-lapsed", request(sequence, 100));
    }

    private long claim(Fence fence, HostId holder, long sequence, long nowMs) {
        WorkerReply reply = agent.command(claimOf(fence, holder, sequence), nowMs);
        return ((WorkerReply.Claimed) reply).leaseSequence();
    }

    private WorkerReply start(Fence fence, long sequence, JobSpec spec, long attempt, long nowMs) {
        return agent.command(new WorkerCommand.Start(fence, sequence, spec.task(0), attempt, spec, 150), nowMs);
    }

    private Admission request(long sequence, long nowMs) {
        return agent.begin(new LiveCall("r", WorkspaceId.of("t"), "shop", OLD, sequence, ""), nowMs);
    }

    private static void assertRefused(String code, WorkerReply reply) {
        assertEquals(code, assertInstanceOf(WorkerReply.Refused.class, reply).code());
    }

    private static void assertRejected(String code, Admission admission) {
        Admission.Rejected rejected = assertInstanceOf(Admission.Rejected.class, admission);
        assertEquals(code, rejected.failure().code());
    }

    private static WorkerCommand claimOf(Fence fence, HostId holder, long sequence) {
        return new WorkerCommand.Claim(fence, holder, VALID_MS, sequence, 150, 150, 0, List.of());
    }

    private static JobSpec big(String name) {
        return JobSpec.builder(JobId.of(name), WorkspaceId.of("t"), name, new JobKind.Gang(1))
                .demand(Resources.of(3_000, 64, 0))
                .payload("run=90")
                .build();
    }

    private static JobSpec service() {
        return JobSpec.builder(JobId.of("s"), WorkspaceId.of("t"), "shop", new JobKind.Service(1))
                .build();
    }

    private static JobSpec spec(String name, String payload) {
        return JobSpec.builder(JobId.of(name), WorkspaceId.of("t"), name, new JobKind.Gang(1))
                .payload(payload)
                .build();
    }

    private static TaskId task(String name) {
        return TaskId.of(JobId.of(name), 0);
    }
}
