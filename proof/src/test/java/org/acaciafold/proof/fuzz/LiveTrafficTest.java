package org.acaciafold.proof.fuzz;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests live requests while faults occur in the simulated cluster. */
class LiveTrafficTest {
    private static final int DOMAINS = 2;
    private static long sent;
    private static long answered;
    private static long relayed;
    private static long givenUp;
    private static long refusedByWorker;
    private static final Map<String, Long> REFUSALS = new TreeMap<>();

    @Provide
    Arbitrary<List<Action>> cases() {
        return Actions.cases();
    }

    @Property(tries = 30, seed = "2", shrinking = ShrinkingMode.OFF)
    void shouldNeverExceedSlotsWhenFaultsCoincide(@ForAll("cases") List<Action> steps) {
        FuzzCase fuzzCase = FuzzCase.of(steps.hashCode(), DOMAINS, steps);
        LiveTraffic traffic = new LiveTraffic(fuzzCase.world(), steps.hashCode() + 2L);
        traffic.start();
        Optional<FuzzCase.Finding> finding = fuzzCase.run();
        finding.ifPresent(found -> {
            throw new AssertionError(found.violation() + "\nsteps: " + steps + "\n" + String.join("\n", found.trace()));
        });
        sent += traffic.count(LiveTraffic.Kind.SENT);
        answered += traffic.count(LiveTraffic.Kind.ANSWERED);
        relayed += traffic.count(LiveTraffic.Kind.RELAYED);
        givenUp += traffic.count(LiveTraffic.Kind.GIVEN_UP);
        traffic.refusals().forEach((code, count) -> REFUSALS.merge(code, count, Long::sum));
        refusedByWorker += traffic.count(LiveTraffic.Kind.REFUSED_BY_WORKER);
    }

    /** Checks that the cases include both answered and abandoned requests. */
    @AfterContainer
    static void shouldHaveAnsweredAndGivenUpRequests() {
        System.out.println(
                "live requests: sent " + sent + ", relayed " + relayed + ", answered " + answered + ", given up "
                        + givenUp + ", refused by workers " + refusedByWorker + ", refused by hosts " + REFUSALS);
        assertTrue(answered > sent / 10, "answered " + answered + " of " + sent);
        assertTrue(givenUp > 0);
    }
}
