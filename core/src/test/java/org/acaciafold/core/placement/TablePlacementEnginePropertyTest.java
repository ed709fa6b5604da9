package org.acaciafold.core.placement;

import java.util.OptionalLong;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.EndReason;

class TablePlacementEnginePropertyTest {
    private static final long SEED = 11;

    @Property(tries = 400, seed = "20260101")
    void shouldKeepInvariantsWhenEventsArriveInAnyOrder(@ForAll("chains") ActionChain<SliceModel> chain) {
        chain.run().runToCompletion();
    }

    @Provide
    Arbitrary<ActionChain<SliceModel>> chains() {
        return ActionChain.startWith(() -> new SliceModel(SEED))
                .withAction(8, change(submits()))
                .withAction(10, change(Arbitraries.of(SliceModel::tick)))
                .withAction(8, change(ends()))
                .withAction(1, change(choices().map(choice -> model -> model.cancel(choice))))
                .withAction(1, change(choices().map(choice -> model -> model.refuse(choice))))
                .withAction(1, change(choices().map(choice -> model -> model.lose(choice))))
                .withAction(1, change(workers()))
                .withAction(1, change(Arbitraries.of(true, true, false).map(open -> model -> model.open(open))))
                .withAction(1, change(Arbitraries.of(300L, 3_000L, 40_000L).map(wait -> model -> model.sleep(wait))))
                .withAction(1, change(Arbitraries.of(SliceModel::takeOver)))
                .withMaxTransformations(100);
    }

    /** A change to apply to the model. */
    private interface Change {
        void apply(SliceModel model);
    }

    private static Action.Independent<SliceModel> change(Arbitrary<Change> changes) {
        return () -> changes.map(change -> Transformer.mutate(change.toString(), change::apply));
    }

    private static Arbitrary<Integer> choices() {
        return Arbitraries.integers().between(0, 1_000);
    }

    private static Arbitrary<Change> ends() {
        Arbitrary<EndReason> reasons = Arbitraries.of(
                EndReason.SUCCEEDED, EndReason.SUCCEEDED, EndReason.FAILED, EndReason.CHECKPOINTED, EndReason.EXPIRED);
        return Combinators.combine(choices(), reasons).as((choice, reason) -> model -> model.end(choice, reason));
    }

    private static Arbitrary<Change> workers() {
        return Combinators.combine(Arbitraries.integers().between(0, 5), Arbitraries.of(WorkerState.class))
                .as((index, state) -> model -> model.putWorker(index, state));
    }

    private static Arbitrary<Change> submits() {
        Arbitrary<Integer> tasks = Arbitraries.integers().between(1, 5);
        Arbitrary<JobKind> kinds = Arbitraries.oneOf(
                tasks.map(JobKind.Service::new),
                tasks.map(count -> new JobKind.Batch(count, OptionalLong.empty())),
                tasks.map(count -> new JobKind.Batch(count, OptionalLong.of(60_000))),
                tasks.map(JobKind.Gang::new));
        Arbitrary<Resources> demands = Combinators.combine(
                        Arbitraries.longs().between(1, 14),
                        Arbitraries.longs().between(1, 12),
                        Arbitraries.of(0L, 0L, 0L, 1L))
                .as((cpu, memory, accelerators) -> Resources.of(cpu * 1_000, memory * 100, accelerators));
        return Combinators.combine(
                        kinds,
                        demands,
                        Arbitraries.of(Priority.class),
                        Arbitraries.integers().between(0, 2))
                .as((kind, demand, priority, workspace) -> model -> model.submit(JobSpec.builder(
                                JobId.of("j" + model.jobs.size()),
                                WorkspaceId.of("workspace" + workspace),
                                "name" + workspace,
                                kind)
                        .demand(demand)
                        .priority(priority)
                        .exclusive(true)
                        .build()));
    }
}
