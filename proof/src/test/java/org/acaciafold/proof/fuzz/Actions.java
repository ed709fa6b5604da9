package org.acaciafold.proof.fuzz;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.Tuple;

/** Generates fuzz cases. */
final class Actions {
    private static final int MAX_INDEX = 63;
    private static final int MAX_DURATION_MS = 60_000;

    private Actions() {}

    /** Returns a generator of cases of 10 to 60 steps that mix client calls and faults. */
    static Arbitrary<List<Action>> cases() {
        return step().list().ofMinSize(10).ofMaxSize(60).withSizeDistribution(RandomDistribution.uniform());
    }

    private static Arbitrary<Action> step() {
        return Arbitraries.frequencyOf(
                Tuple.of(12, submit()),
                Tuple.of(1, between(2, 5).map(Action.CancelWave::new)),
                Tuple.of(4, Combinators.combine(between(0, 9), index()).as(Action.Hold::new)),
                Tuple.of(
                        2, Combinators.combine(index(), between(2, 40), index()).as(Action.SetLimit::new)),
                Tuple.of(2, setDomain()),
                Tuple.of(2, Combinators.combine(index(), duration()).as(Action.KillHost::new)),
                Tuple.of(1, Combinators.combine(index(), duration()).as(Action.StopHost::new)),
                Tuple.of(2, Combinators.combine(index(), duration()).as(Action.PauseHost::new)),
                Tuple.of(2, Combinators.combine(index(), duration()).as(Action.PauseAtStart::new)),
                Tuple.of(2, splitDomain()),
                Tuple.of(2, Combinators.combine(index(), duration()).as(Action.KillWorker::new)),
                Tuple.of(1, Combinators.combine(index(), duration()).as(Action.FailWorker::new)),
                Tuple.of(1, index().map(Action.LeaveWorker::new)),
                Tuple.of(2, Combinators.combine(index(), index(), duration()).as(Action.CutDomains::new)),
                Tuple.of(3, Combinators.combine(index(), index(), duration()).as(Action.CutHost::new)),
                Tuple.of(2, Combinators.combine(index(), duration()).as(Action.CutPlatform::new)),
                Tuple.of(2, breakTable()),
                Tuple.of(2, disturb()),
                Tuple.of(8, between(10, 20_000).map(Action.Pass::new)));
    }

    private static Arbitrary<Action> submit() {
        return Combinators.combine(index(), Arbitraries.of(Action.Shape.class), between(1, 6), between(1, 60), index())
                .as(Action.Submit::new);
    }

    private static Arbitrary<Action> setDomain() {
        return Combinators.combine(index(), Arbitraries.of(true, false), index())
                .as(Action.SetDomain::new);
    }

    private static Arbitrary<Action> splitDomain() {
        return Combinators.combine(index(), index(), index(), duration()).as(Action.SplitDomain::new);
    }

    private static Arbitrary<Action> breakTable() {
        return Combinators.combine(Arbitraries.of(Action.TableFault.class), duration())
                .as(Action.BreakTable::new);
    }

    private static Arbitrary<Action> disturb() {
        return Combinators.combine(between(0, 30), between(0, 30), between(0, 900), duration())
                .as(Action.Disturb::new);
    }

    private static Arbitrary<Integer> index() {
        return between(0, MAX_INDEX);
    }

    private static Arbitrary<Integer> duration() {
        return between(10, MAX_DURATION_MS);
    }

    private static Arbitrary<Integer> between(int min, int max) {
        return Arbitraries.integers().between(min, max);
    }
}
