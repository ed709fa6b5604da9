package org.acaciafold.proof.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests fault sequences that the random fuzz cases rarely reach. */
class DirectedTest {
    private static final int DOMAINS = 3;
    private static final int HOSTS_IN_DOMAIN = 2;
    private static final int WORKERS_IN_DOMAIN = 3;
    private static final int LONG_SECONDS = 60;

    static Stream<List<Action>> splits() {
        return IntStream.range(0, DOMAINS * HOSTS_IN_DOMAIN * WORKERS_IN_DOMAIN).mapToObj(number -> {
            int domain = number % DOMAINS;
            int host = number / DOMAINS % HOSTS_IN_DOMAIN;
            int worker = number / (DOMAINS * HOSTS_IN_DOMAIN);
            List<Action> steps = exclusiveJobs();
            steps.add(new Action.SplitDomain(domain, host, worker, LONG_SECONDS * 1_000));
            steps.add(new Action.Pass(25_000));
            return steps;
        });
    }

    @ParameterizedTest
    @MethodSource("splits")
    void shouldRunNothingTwiceWhenAnOwnerReachesOnlyOneWorker(List<Action> steps) {
        run(steps);
    }

    static Stream<List<Action>> pauses() {
        return IntStream.range(0, DOMAINS * HOSTS_IN_DOMAIN).mapToObj(host -> {
            List<Action> steps = new ArrayList<>();
            steps.add(new Action.PauseAtStart(host, 20_000));
            steps.addAll(exclusiveJobs());
            steps.add(new Action.Pass(25_000));
            return steps;
        });
    }

    @ParameterizedTest
    @MethodSource("pauses")
    void shouldRunNothingTwiceWhenStartsAreDelayedPastAllLeases(List<Action> steps) {
        run(steps);
    }

    static Stream<List<Action>> hostKills() {
        return IntStream.range(0, DOMAINS * HOSTS_IN_DOMAIN).mapToObj(host -> {
            List<Action> steps = exclusiveJobs();
            steps.add(new Action.BreakTable(Action.TableFault.DOWN, LONG_SECONDS * 1_000));
            steps.add(new Action.KillHost(host, LONG_SECONDS * 1_000));
            steps.add(new Action.Pass(LONG_SECONDS * 1_000));
            return steps;
        });
    }

    @ParameterizedTest
    @MethodSource("hostKills")
    void shouldEndAllWorkWhenAHostIsKilledWhileTheTableIsDown(List<Action> steps) {
        run(steps);
    }

    private static List<Action> exclusiveJobs() {
        List<Action> steps = new ArrayList<>();
        for (int job = 0; job < DOMAINS * 2; job++) {
            steps.add(new Action.Submit(job, Action.Shape.EXCLUSIVE, 4, LONG_SECONDS, job));
            steps.add(new Action.Pass(1_000));
        }
        return steps;
    }

    private static void run(List<Action> steps) {
        FuzzCase.of(1, DOMAINS, steps).run().ifPresent(found -> {
            throw new AssertionError(found.violation() + "\n" + String.join("\n", found.trace()));
        });
    }
}
