package org.acaciafold.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlotAllocatorTest {
    private static final WorkspaceId NORTH = WorkspaceId.of("north");
    private static final WorkspaceId SOUTH = WorkspaceId.of("south");
    private static final ServiceKey SHOP = new ServiceKey(NORTH, "shop");
    private static final ServiceKey TOURS = new ServiceKey(SOUTH, "tours");
    private static final long LATE_ARRIVAL_MS = 100;
    private static final long FAR_DEADLINE_MS = 1_000_000;

    private final SlotAllocator allocator = SlotAllocator.of(1, LATE_ARRIVAL_MS);
    private long lastCall;

    // -- request

    @Test
    void shouldRefuseAtOnceWhenQueueOfWorkspaceIsFull() {
        allocator.setWorkspaceLimits(NORTH, 1, 2);
        report("w", 1, 1, 0);
        request(NORTH, SHOP, 0, FAR_DEADLINE_MS);
        request(NORTH, SHOP, 0, FAR_DEADLINE_MS);
        request(NORTH, SHOP, 0, FAR_DEADLINE_MS);
        assertRefused(SlotDecision.Reason.QUEUE_FULL, allocator.tick(0).getFirst());
    }

    @ParameterizedTest
    @CsvSource({"199, true", "201, false"})
    void shouldRefuseAtOnceWhenWaitExceedsDeadline(long deadlineMs, boolean refused) {
        report("w", 1, 0, 0);
        long first = slotOf(requestNow(0, FAR_DEADLINE_MS));
        allocator.release(first, new SlotOutcome(true, true, 100), 0);
        requestNow(0, FAR_DEADLINE_MS);
        request(NORTH, SHOP, 0, FAR_DEADLINE_MS);
        request(NORTH, SHOP, 0, deadlineMs);
        assertEquals(refused, !allocator.tick(0).isEmpty());
    }

    @Test
    void shouldRefuseWhenDeadlinePassesInQueue() {
        report("w", 1, 1, 0);
        request(NORTH, SHOP, 0, 50);
        assertTrue(allocator.tick(49).isEmpty());
        assertRefused(SlotDecision.Reason.DEADLINE, allocator.tick(50).getFirst());
        assertEquals(0, allocator.load(SHOP).waiting());
    }

    // -- tick

    @ParameterizedTest
    @CsvSource({"1, 1, 10", "3, 1, 15"})
    void shouldServeWorkspacesByWeightWhenOneHasManyRequests(double northWeight, double southWeight, int northServed) {
        allocator.setWorkspaceLimits(NORTH, northWeight, 1_000);
        allocator.setWorkspaceLimits(SOUTH, southWeight, 1_000);
        report("w", 1, 1, 0);
        Map<Long, WorkspaceId> callers = new HashMap<>();
        for (int index = 0; index < 500; index++) {
            callers.put(request(NORTH, SHOP, 0, FAR_DEADLINE_MS), NORTH);
        }
        for (int index = 0; index < 20; index++) {
            callers.put(request(SOUTH, TOURS, 0, FAR_DEADLINE_MS), SOUTH);
        }
        report("w", 1, 0, 0);
        int north = 0;
        for (int served = 0; served < 20; served++) {
            SlotDecision decision = allocator.tick(0).getFirst();
            north += callers.get(decision.call()).equals(NORTH) ? 1 : 0;
            allocator.release(slotOf(decision), new SlotOutcome(true, true, 1), 0);
        }
        assertEquals(northServed, north);
    }

    @Test
    void shouldChooseLessLoadedOfTwoWhenBothHaveSlots() {
        report("a", 8, 6, 0);
        report("b", 8, 0, 0);
        int toB = 0;
        for (int index = 0; index < 4; index++) {
            toB += workerOf(requestNow(0, FAR_DEADLINE_MS)).equals(WorkerId.of("b")) ? 1 : 0;
        }
        assertTrue(toB >= 3, "requests to the idle worker: " + toB);
    }

    // -- worker

    @ParameterizedTest
    @CsvSource({"8, 0", "5, 3", "0, 8"})
    void shouldCountSlotsOfEarlierOwnersWhenReported(int inUse, int free) {
        report("w", 8, inUse, 0);
        assertEquals(free, allocator.load(SHOP).freeSlots());
        report("w", 8, 0, 1);
        assertEquals(8, allocator.load(SHOP).freeSlots());
    }

    @ParameterizedTest
    @CsvSource({"149, 0, 0", "150, 0, 1", "150, 1, 0"})
    void shouldFreeAbandonedSlotOnlyWhenWorkerReportsItUnused(long sampledAfterMs, int inUse, int free) {
        report("w", 1, 0, 0);
        requestNow(0, 150);
        allocator.tick(150);
        report("w", 1, inUse, sampledAfterMs);
        assertEquals(free, allocator.load(SHOP).freeSlots());
    }

    // -- release

    @ParameterizedTest
    @CsvSource({"true, 50, 1", "false, 50, 0", "false, 100, 1"})
    void shouldKeepSlotWhenRequestMayStillRun(boolean ended, long sampledAfterMs, int free) {
        report("w", 1, 0, 0);
        allocator.release(slotOf(requestNow(0, FAR_DEADLINE_MS)), new SlotOutcome(false, ended, 10), 10);
        report("w", 1, 0, sampledAfterMs);
        assertEquals(free, allocator.load(SHOP).freeSlots());
    }

    @ParameterizedTest
    @CsvSource({"false, 5", "true, 500"})
    void shouldEjectAndProbeWhenReplicaFailsOrIsSlow(boolean succeeds, long badTookMs) {
        report("bad", 8, 0, 0);
        report("good", 8, 0, 0);
        for (int index = 0; index < 60; index++) {
            serve(0, succeeds, badTookMs);
        }
        assertEquals(0, servedByBad(500, 40, false));
        assertEquals(1, servedByBad(1_000, 40, false));
        assertEquals(0, servedByBad(2_999, 40, false));
        assertTrue(servedByBad(3_000, 40, true) > 1, "restored after a good probe");
    }

    @Property(tries = 200, seed = "7")
    void shouldNeverExceedSlotsWhenEventsAreRandom(@ForAll @IntRange(min = 1, max = 100_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> granted = new ArrayList<>();
        Map<Long, WorkerId> running = new HashMap<>();
        SlotAllocator subject = SlotAllocator.of(seed, LATE_ARRIVAL_MS);
        for (long nowMs = 0; nowMs < 2_000; nowMs += 10) {
            subject.request(new SlotRequest(++lastCall, NORTH, SHOP, nowMs + 1 + random.nextInt(300)), nowMs);
            for (String worker : List.of("a", "b")) {
                long used = running.values().stream()
                        .filter(WorkerId.of(worker)::equals)
                        .count();
                assertTrue(used <= 3, "slots in use at once: " + used);
                if (random.nextInt(4) == 0) {
                    subject.recordWorkerReport(
                            new SlotWorker(WorkerId.of(worker), 3, (int) used, nowMs, true, Set.of(SHOP)));
                }
            }
            for (SlotDecision decision : subject.tick(nowMs)) {
                if (decision instanceof SlotDecision.Granted grant) {
                    granted.add(grant.slot());
                    running.put(grant.slot(), grant.worker());
                }
            }
            if (!granted.isEmpty() && random.nextInt(2) == 0) {
                endOne(subject, random, granted, running, nowMs);
            }
        }
        assertEquals(6, freeAfterAllEnded(subject), "slots of both workers after everything has ended");
    }

    private static int freeAfterAllEnded(SlotAllocator allocator) {
        long endMs = 10_000;
        allocator.tick(endMs);
        for (String worker : List.of("a", "b")) {
            allocator.recordWorkerReport(new SlotWorker(WorkerId.of(worker), 3, 0, endMs, true, Set.of(SHOP)));
        }
        return allocator.load(SHOP).freeSlots();
    }

    /** Ends a request at the worker, at the allocator, or at both. */
    private static void endOne(
            SlotAllocator allocator,
            SplittableRandom random,
            List<Long> granted,
            Map<Long, WorkerId> running,
            long nowMs) {
        long slot = granted.get(random.nextInt(granted.size()));
        switch (random.nextInt(3)) {
            case 0 -> running.remove(slot);
            case 1 -> allocator.release(slot, new SlotOutcome(false, !running.containsKey(slot), 5), nowMs);
            default -> {
                running.remove(slot);
                granted.remove(slot);
                allocator.release(slot, new SlotOutcome(true, true, 5), nowMs);
            }
        }
    }

    private long request(WorkspaceId workspace, ServiceKey service, long nowMs, long deadlineMs) {
        allocator.request(new SlotRequest(++lastCall, workspace, service, deadlineMs), nowMs);
        return lastCall;
    }

    private SlotDecision requestNow(long nowMs, long deadlineMs) {
        request(NORTH, SHOP, nowMs, deadlineMs);
        List<SlotDecision> decisions = allocator.tick(nowMs);
        assertFalse(decisions.isEmpty(), "a slot is free");
        return decisions.getFirst();
    }

    private void report(String worker, int slots, int inUse, long sampledAfterMs) {
        allocator.recordWorkerReport(
                new SlotWorker(WorkerId.of(worker), slots, inUse, sampledAfterMs, true, Set.of(SHOP, TOURS)));
    }

    private boolean serve(long nowMs, boolean badSucceeds, long badTookMs) {
        SlotDecision decision = requestNow(nowMs, nowMs + FAR_DEADLINE_MS);
        boolean bad = workerOf(decision).equals(WorkerId.of("bad"));
        allocator.release(slotOf(decision), new SlotOutcome(!bad || badSucceeds, true, bad ? badTookMs : 5), nowMs);
        return bad;
    }

    private int servedByBad(long nowMs, int requests, boolean succeeds) {
        int served = 0;
        for (int index = 0; index < requests; index++) {
            served += serve(nowMs, succeeds, 5) ? 1 : 0;
        }
        return served;
    }

    private static void assertRefused(SlotDecision.Reason reason, SlotDecision decision) {
        assertEquals(
                reason, assertInstanceOf(SlotDecision.Refused.class, decision).reason());
    }

    private static long slotOf(SlotDecision decision) {
        return assertInstanceOf(SlotDecision.Granted.class, decision).slot();
    }

    private static WorkerId workerOf(SlotDecision decision) {
        return assertInstanceOf(SlotDecision.Granted.class, decision).worker();
    }
}
