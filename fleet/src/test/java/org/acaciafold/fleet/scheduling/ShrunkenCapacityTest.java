package org.acaciafold.fleet.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.WorkerEntry;
import org.junit.jupiter.api.Test;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.INCARNATION;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.end;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers workers whose registered capacity changes while they run, or from one incarnation to the next. */
class ShrunkenCapacityTest {
    private static final long REBORN = INCARNATION + 1_000;

    private final SchedulerFixture fixture = new SchedulerFixture(1).withWorkers(worker("a", 1_000));

    private void register(long cpuMillis) {
        fixture.scheduler.updateRegistry(List.of(worker("a", cpuMillis)), true);
    }

    private static WorkerEntry reborn(long cpuMillis) {
        WorkerEntry entry = worker("a", cpuMillis);
        Resources capacity = Resources.of(cpuMillis, 100_000, 0);
        return new WorkerEntry(
                "a",
                entry.address(),
                entry.domain(),
                entry.service(),
                capacity,
                Set.of("a", "r1"),
                "r1",
                false,
                REBORN);
    }

    private void submit(String id, int tasks, long cpuMillis) {
        fixture.scheduler.accept(fixture.job(id, step(tasks, cpuMillis).build()));
    }

    /** Guards against starts on a worker whose capacity shrank while their claims were being recorded. */
    @Test
    void shouldStartOnlyWhatStillFitsWhenTheCapacityShrinksBeforeTheOrder() {
        submit("job", 2, 500);
        fixture.tick();

        register(500);

        assertEquals(1, fixture.starts().size());
    }

    /** Guards against a gang of which a part is ordered on a worker that no longer holds all of it. */
    @Test
    void shouldStartNoMemberOfAGangWhenTheCapacityShrinksBeforeTheOrder() {
        fixture.scheduler.accept(fixture.job("gang", step(2, 500).gang(true).build()));
        fixture.tick();

        register(500);

        assertEquals(List.of(), fixture.starts());
    }

    @Test
    void shouldStopNothingAndStartNothingWhenTheCapacityShrinksBelowWhatRuns() {
        submit("first", 2, 500);
        List<Effect.Start> starts = fixture.confirmedStarts();
        register(600);
        fixture.leaseRenewed("a", starts.stream().map(SchedulerFixture::running).toList(), List.of());
        submit("second", 1, 100);

        List<Effect> effects = fixture.tick();
        effects.addAll(fixture.tick());

        assertEquals(
                0,
                effects.stream()
                        .filter(effect -> effect instanceof Effect.Stop || effect instanceof Effect.Start)
                        .count());
    }

    @Test
    void shouldCountARunThatIsBeingStoppedWhenTheCapacityHasShrunk() {
        submit("first", 2, 500);
        List<ReportedRun> running = fixture.confirmedStarts().stream()
                .map(SchedulerFixture::running)
                .toList();
        fixture.scheduler.cancel("first");
        register(900);
        submit("second", 1, 400);
        assertEquals(List.of(), fixture.starts());

        fixture.advance(10);
        fixture.leaseRenewed("a", running, List.of());
        assertEquals(List.of(), fixture.starts());

        ReportedRun ended = running.getFirst();
        fixture.leaseRenewed("a", running.subList(1, 2), List.of(end(1, ended.task(), ended.run(), EndKind.STOPPED)));
        assertEquals(1, fixture.starts().size());
    }

    @Test
    void shouldUseTheCapacityAgainWhenItGrowsBack() {
        register(400);
        submit("job", 2, 500);
        assertEquals(List.of(), fixture.starts());

        register(1_000);

        assertEquals(2, fixture.starts().size());
    }

    /** Guards against starts by the size and labels of an earlier incarnation, which may have been another machine. */
    @Test
    void shouldStartNothingOnARebornWorkerBeforeItsNewEntryIsRead() {
        fixture.advance(10);
        fixture.leaseRenewed("a", REBORN, List.of(), List.of());
        submit("job", 2, 500);
        assertEquals(List.of(), fixture.starts());
        fixture.answerRaisedToken("a", REBORN);
        assertEquals(List.of(), fixture.starts());

        fixture.scheduler.updateRegistry(List.of(reborn(500)), true);

        assertEquals(1, fixture.starts().size());
    }

    /** Guards against orders to an incarnation that has ended while the claims were being recorded. */
    @Test
    void shouldSendNoOrderWhenTheEntryTellsOfANewIncarnationBeforeTheOrder() {
        submit("job", 2, 500);
        fixture.tick();

        fixture.scheduler.updateRegistry(List.of(reborn(500)), true);

        assertEquals(List.of(), fixture.starts());
    }

    @Test
    void shouldStartOnlyWhatFitsWhenTheCapacityShrinksDuringACallForAdvice() {
        AdviceSettings settings = new AdviceSettings(80, 1, 2_000);
        fixture.scheduler.adviceHosts(List.of("h0"));
        fixture.scheduler.accept(fixture.job(
                "advised", route(1, 4, Optional.of(settings)), step(2, 500).build()));
        Effect.RequestAdvice request = fixture.tick().stream()
                .filter(Effect.RequestAdvice.class::isInstance)
                .map(Effect.RequestAdvice.class::cast)
                .findFirst()
                .orElseThrow();
        register(500);

        fixture.scheduler.adviceAnswered("h0", request.step(), Optional.of(List.of(new Grant("a", "ticket"))));

        assertEquals(1, fixture.starts().size());
    }
}
