package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers workers that are lost soon after a restart, while calls that were meant for their former incarnation may arrive. */
class RestartedWorkerLossTest {
    /** The contract wants a task that lasts to run again 6 s after its last run, and 3 s later at the latest. */
    private static final long MAX_AWAY_MS = 9_000;

    /** Longer than any renewal cycle. */
    private static final long OFFSETS_MS = 1_800;

    private static final long OFFSET_STEP_MS = 100;

    /** The clock of an incarnation of this age is far ahead of that of the next one. */
    private static final long OLD_MS = 60_000;

    /** How long after its worker the leader is lost; the loss of the worker is recorded by then. */
    private static final long LEADER_LOST_AFTER_MS = 3_000;

    private static void assertBackInTime(long ageMs, LongUnaryOperator upMs, boolean leaderLost) {
        List<Long> late = new ArrayList<>();
        for (long offset = 0; offset < OFFSETS_MS; offset += OFFSET_STEP_MS) {
            RestartedWorkerScenario scenario = new RestartedWorkerScenario(ageMs + offset)
                    .restart()
                    .awaitRun()
                    .withOthers()
                    .lose(upMs.applyAsLong(offset));
            scenario = leaderLost ? scenario.loseLeader(LEADER_LOST_AFTER_MS).run() : scenario.run();
            if (scenario.awayMs().orElse(Long.MAX_VALUE) > MAX_AWAY_MS) {
                late.add(offset);
            }
        }

        assertEquals(List.of(), late, "offsets of the restart at which the task is away for too long");
    }

    /** Guards against a wait for leases longer than any that a call can carry, on the clock of either incarnation. */
    @ParameterizedTest
    @CsvSource({
        "2000, 2000, false",
        "2000, 2000, true",
        "4000, 5000, false",
        "4000, 5000, true",
        "8000, 9000, false",
        "8000, 9000, true"
    })
    void shouldStartATaskThatLastsAgainInTimeWhenItsWorkerHadRestartedWhileYoung(
            long ageMs, long upMs, boolean leaderLost) {
        assertBackInTime(ageMs, offset -> upMs + offset, leaderLost);
    }

    /** Guards against a task that is away for 20 s, since calls for an old incarnation of its worker may still arrive. */
    @ParameterizedTest
    @CsvSource({"3000, false", "3000, true", "5000, false", "5000, true", "8000, false", "8000, true"})
    void shouldStartATaskThatLastsAgainInTimeWhenItsWorkerHadRestartedWhileOld(long upMs, boolean leaderLost) {
        assertBackInTime(OLD_MS, offset -> upMs, leaderLost);
    }

    /** Guards against two runs at once: a late call extends the lease up to the time that it carries. */
    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 2_000, 3_000, 4_000, 6_000, 8_000})
    void shouldStartNoSecondRunWhenALateCallForAYoungIncarnationReachesTheNextOne(long ageMs) {
        List<String> twice = new ArrayList<>();
        for (long lateMs = 400; lateMs <= 8_000; lateMs += 400) {
            for (long afterMs = 200; afterMs <= 2_000; afterMs += 600) {
                RestartedWorkerScenario scenario = new RestartedWorkerScenario(ageMs)
                        .restartBeforeARenewalArrives(lateMs, SchedulerLimits.SLOWEST_CLOCK)
                        .awaitRun()
                        .withOthers()
                        .cutOff(lateMs + afterMs)
                        .run();
                if (scenario.startedTwice()) {
                    twice.add(lateMs + " ms late, cut off " + afterMs + " ms after it");
                }
            }
        }

        assertEquals(List.of(), twice);
    }

    @Test
    void shouldRaiseTheTokenOnceWhenWorkersRestartTogether() {
        SimulatedFleet together = new SimulatedFleet()
                .with(worker("a", 1_000), worker("b", 1_000))
                .run(OLD_MS);
        long incarnation = INCARNATION + together.fixture.nowMs;
        together.with(changed(worker("a", 1_000), "a:1", false, incarnation));
        together.with(changed(worker("b", 1_000), "b:1", false, incarnation));

        together.run(OLD_MS);

        assertEquals(List.of(2L), together.raisedTokens.stream().distinct().toList());
        assertEquals(2, TermTokens.of(together.fixture.scheduler).token("a"));
    }
}
