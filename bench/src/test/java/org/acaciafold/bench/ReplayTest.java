package org.acaciafold.bench;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.PlacementFeature;
import org.acaciafold.core.placement.WorkerSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ReplayTest {
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("t");

    private static Measures replay(Policy policy, long runMs) {
        WorkerSpec worker = new WorkerSpec(WorkerId.of("w"), "r", Resources.of(1_000, 1_000, 0));
        List<Workload.Arrival> arrivals = List.of(arrival("a", runMs), arrival("b", runMs));
        Workload workload = new Workload(
                "small",
                10_000,
                100,
                List.of(List.of(worker)),
                Map.of(WORKSPACE, 1.0),
                arrivals,
                Set.of(),
                new Workload.Window(20_000, 30_000),
                20_000,
                Set.of());
        return new Replay(workload, policy, 1, EnumSet.noneOf(PlacementFeature.class)).run();
    }

    private static Workload.Arrival arrival(String id, long runMs) {
        JobSpec spec = JobSpec.builder(JobId.of(id), WORKSPACE, id, new JobKind.Gang(1))
                .demand(Resources.of(1_000, 10, 0))
                .build();
        return new Workload.Arrival(0, spec, runMs, false);
    }

    // -- run

    @ParameterizedTest
    @EnumSource(Policy.class)
    void shouldRecordTheWaitForTheWorkerWhenTwoJobsNeedIt(Policy policy) {
        Measures measures = replay(policy, 2_000);

        assertEquals(2, measures.starts());
        assertEquals(2_000, measures.waits(Measures.WaitClass.GANG).getMaxValue(), 100);
        assertEquals(4, measures.coreSeconds(), 0.001);
    }

    @ParameterizedTest
    @EnumSource(Policy.class)
    void shouldRecordTheWaitSoFarWhenAJobNeverStarts(Policy policy) {
        Measures measures = replay(policy, 60_000);

        assertEquals(1, measures.starts());
        assertEquals(10_000, measures.waits(Measures.WaitClass.GANG).getMaxValue(), 10);
        assertEquals(1, measures.packing(), 0.001);
    }

    // -- text

    @ParameterizedTest
    @CsvSource({"LOWER,3.00 / 2.00 = 1.50 x", "HIGHER,3.00 / 4.00 = 0.75 x"})
    void shouldCompareTheLastRowWithTheBestOtherWhenATableIsPrinted(ResultTable.Better better, String expected) {
        ResultTable table = new ResultTable("title", List.of("column"), better);
        table.add("one", 2);
        table.add("two", 4);
        table.add("ours", 3);

        assertTrue(table.text().contains(expected), table.text());
    }

    @Test
    void shouldDrawOneBarForEachValueWhenATableIsPlotted() {
        ResultTable table = new ResultTable("title", List.of("first", "second"), ResultTable.Better.LOWER);
        table.add("one", 2, 3);

        assertEquals(2 + 1 + 1, BarChart.svg(table).split("<rect", -1).length - 1);
    }
}
