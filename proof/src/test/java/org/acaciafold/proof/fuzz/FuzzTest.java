package org.acaciafold.proof.fuzz;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

class FuzzTest {
    private static final int DOMAINS = 3;

    @Provide
    Arbitrary<List<Action>> cases() {
        return Actions.cases();
    }

    @Property(tries = 60, seed = "1", shrinking = ShrinkingMode.OFF)
    void shouldKeepEveryGuaranteeWhenFaultsCoincide(@ForAll("cases") List<Action> steps) {
        Optional<FuzzCase.Finding> finding =
                FuzzCase.of(steps.hashCode(), DOMAINS, steps).run();

        finding.ifPresent(found -> {
            throw new AssertionError(found.violation() + "\nsteps: " + steps + "\n" + String.join("\n", found.trace()));
        });
    }
}
