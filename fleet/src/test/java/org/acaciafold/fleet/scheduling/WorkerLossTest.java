package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.acaciafold.fleet.scheduling.WorkerLossScenario.Loss;
import org.acaciafold.fleet.scheduling.WorkerLossScenario.Trouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.LIMITS;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Covers workers that are lost at each moment of the renewal cycle: their tasks that last run again in time, also after one
 * trouble more, and what is only out of contact for some seconds runs on.
 */
class WorkerLossTest {
    /** The contract wants a task that lasts to run again 6 s after its last run, and 3 s later at the latest. */
    private static final long MAX_AWAY_MS = 9_000;

    /** Longer than any renewal cycle. */
    private static final long OFFSETS_MS = 1_800;

    private static final long OFFSET_STEP_MS = 100;

    private static List<Long> offsetsWhere(Predicate<Long> holds) {
        List<Long> found = new ArrayList<>();
        for (long offset = 0; offset < OFFSETS_MS; offset += OFFSET_STEP_MS) {
            if (holds.test(offset)) {
                found.add(offset);
            }
        }
        return found;
    }

    private static WorkerLossScenario scenario(long offsetMs) {
        return new WorkerLossScenario(LIMITS, offsetMs);
    }

    private static void assertBackInTimeWhenTheLeaderIsLost(Loss loss, long leaderLostAfterMs) {
        List<Long> late = offsetsWhere(offset -> scenario(offset)
                        .withLeaderLostAfter(leaderLostAfterMs)
                        .lose(loss, Trouble.LEADER_LOST)
                        .awayMs()
                        .orElse(Long.MAX_VALUE)
                > MAX_AWAY_MS);

        assertEquals(List.of(), late, "offsets of the loss at which the task is away for too long");
    }

    /** Guards against leases that leave no room for a second trouble within the time of the contract. */
    @ParameterizedTest
    @CsvSource({
        "GONE, NONE",
        "GONE, SLOW_STORE",
        "GONE, SLOW_ADVICE",
        "GONE, START_LOST",
        "GONE, START_REFUSED",
        "DARK, NONE",
        "DARK, SLOW_STORE",
        "DARK, SLOW_ADVICE",
        "DARK, START_LOST",
        "DARK, START_REFUSED",
        "REPLACED, NONE",
        "REPLACED, SLOW_STORE",
        "REPLACED, SLOW_ADVICE",
        "REPLACED, START_LOST",
        "CUT, NONE",
        "CUT, SLOW_STORE",
        "CUT, SLOW_ADVICE",
        "CUT, START_LOST",
        "CUT, START_REFUSED",
    })
    void shouldStartATaskThatLastsAgainInTimeWhenItsWorkerIsLost(Loss loss, Trouble trouble) {
        List<Long> late = offsetsWhere(
                offset -> scenario(offset).lose(loss, trouble).awayMs().orElse(Long.MAX_VALUE) > MAX_AWAY_MS);

        assertEquals(List.of(), late, "offsets of the loss at which the task is away for too long");
    }

    /** Guards against a call for advice that is sent only once the lease has run out, beside a slow store. */
    @ParameterizedTest
    @ValueSource(strings = {"GONE", "DARK", "CUT"})
    void shouldStartATaskThatLastsAgainInTimeWhenAdviceAndStoreAreSlow(Loss loss) {
        List<Long> late = offsetsWhere(offset -> scenario(offset)
                        .lose(loss, Trouble.SLOW_ADVICE, Trouble.SLOW_STORE)
                        .awayMs()
                        .orElse(Long.MAX_VALUE)
                > MAX_AWAY_MS);

        assertEquals(List.of(), late, "offsets of the loss at which the task is away for too long");
    }

    /** Guards against advice that is asked for only once a call to a worker has failed that has been silent for seconds. */
    @ParameterizedTest
    @CsvSource({"GONE, 5000", "GONE, 6000", "DARK, 5000", "DARK, 6000"})
    void shouldStartATaskThatLastsAgainInTimeWhenALeaderTakesOverAsItsLeaseEnds(Loss loss, long leaderLostAfterMs) {
        assertBackInTimeWhenTheLeaderIsLost(loss, leaderLostAfterMs);
    }

    /** Guards against a whole long lease for a worker whose loss its leader had no time to notice. */
    @ParameterizedTest
    @CsvSource({"GONE, 100", "GONE, 300", "GONE, 600", "GONE, 900", "DARK, 100", "DARK, 300", "DARK, 500"})
    void shouldStartATaskThatLastsAgainInTimeWhenTheLeaderIsLostJustAfterItsWorker(Loss loss, long leaderLostAfterMs) {
        assertBackInTimeWhenTheLeaderIsLost(loss, leaderLostAfterMs);
    }

    /** Guards against two runs at once: a worker that has just got a task that lasts holds a longer lease of before. */
    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1})
    void shouldNeverRunATaskTwiceWhenItsWorkerIsCutOffJustBeforeTheLeaderIsLost(double clockRate) {
        List<Long> twice = offsetsWhere(offset -> scenario(offset)
                .withClockRate(clockRate)
                .withLeaderLostAfter(offset)
                .lose(Loss.CUT, Trouble.LEADER_LOST)
                .startedTwice());

        assertEquals(List.of(), twice, "offsets of the cut at which the task runs twice");
    }

    /** Guards against shorter leases without more frequent renewals: domains are cut off for five to six seconds. */
    @ParameterizedTest
    @ValueSource(longs = {3_000, 5_000, 6_000})
    void shouldKeepARunWhoseWorkerIsCutOffForSomeSeconds(long cutOffMs) {
        List<Long> lapsed =
                offsetsWhere(offset -> scenario(offset).cutOff(cutOffMs).lapsed());

        assertEquals(List.of(), lapsed, "offsets of the cut at which the run lapses");
    }

    @ParameterizedTest
    @ValueSource(longs = {3_000, 6_000})
    void shouldKeepARunWhenNobodyMayCommandForSomeSeconds(long awayMs) {
        List<Long> lapsed =
                offsetsWhere(offset -> scenario(offset).storeAway(awayMs).lapsed());

        assertEquals(List.of(), lapsed, "offsets of the outage at which the run lapses");
    }

    /** All hosts may be killed and be away for two seconds, after which one has to start, to lead and to ask workers. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 4_000, 5_000})
    void shouldKeepARunWhenAnotherLeaderTakesOver(long takeoverMs) {
        List<Long> lapsed =
                offsetsWhere(offset -> scenario(offset).loseLeader(takeoverMs).lapsed());

        assertEquals(List.of(), lapsed, "offsets of the takeover at which the run lapses");
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1})
    void shouldNeverRunATaskTwiceWhenItsWorkerIsCutOffForGood(double clockRate) {
        List<Long> twice = offsetsWhere(offset -> scenario(offset)
                .withClockRate(clockRate)
                .lose(Loss.CUT, Trouble.NONE)
                .startedTwice());

        assertEquals(List.of(), twice, "offsets of the cut at which the task runs twice");
    }

    /** The worker keeps the longer lease that it had before it got a task that lasts. */
    @Test
    void shouldNotForgetALongerLeaseWhenAWorkerGetsATaskThatLasts() {
        List<Long> twice = offsetsWhere(WorkerLossTest::runsTwiceAfterALongerLease);

        assertEquals(List.of(), twice, "offsets of the start at which a task runs twice");
    }

    private static boolean runsTwiceAfterALongerLease(long offsetMs) {
        SimulatedFleet fleet = new SimulatedFleet().with(worker("a", 1_000)).run(1_000);
        fleet.workers.get("a").clockRate = SchedulerLimits.SLOWEST_CLOCK;
        fleet.fixture.scheduler.accept(fleet.fixture.job("plain", step(1, 500).build()));
        fleet.run(1_000 + offsetMs);
        fleet.fixture.scheduler.accept(
                fleet.fixture.job("lasting", step(1, 500).longRunning(true).build()));
        fleet.run(100);
        assertEquals(1, fleet.running("lasting"));
        fleet.workers.get("a").reachable = false;

        fleet.with(worker("b", 4_000)).run(12_000);

        assertEquals(2, fleet.startsOf("plain").size());
        assertEquals(2, fleet.startsOf("lasting").size());
        return fleet.startedTwice > 0;
    }
}
