package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;

import static org.acaciafold.fleet.scheduling.SchedulerFixture.changed;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.route;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.step;
import static org.acaciafold.fleet.scheduling.SchedulerFixture.worker;

/**
 * A fleet with a task that lasts, which is started on advice, and the loss of its worker at a chosen moment:
 *
 * <pre>{@code
 * new WorkerLossScenario(SchedulerFixture.LIMITS, 300).lose(Loss.GONE, Trouble.NONE).awayMs()
 * }</pre>
 */
final class WorkerLossScenario {
    private static final AdviceSettings ADVICE = new AdviceSettings(450, 6.5, 2_500);
    private static final int WORKERS = 6;
    private static final String JOB = "lasting";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);

    /** The time in which the fleet settles before the loss. */
    private static final long SETTLED_MS = 12_000;

    private static final long HORIZON_MS = 25_000;

    /** A removed entry is noticed after about this time, three check-ins of a worker. */
    private static final long DEREGISTERED_AFTER_MS = 4_500;

    /** A crashed machine has a new worker after about this time. */
    private static final long REPLACED_AFTER_MS = 3_300;

    /** From the last order of a leader that is lost to the first one of its successor. */
    private static final long TAKEOVER_MS = 2_000;

    /** How long after its last order the authority of a leader that is lost ends. */
    private static final long AUTHORITY_MS = 800;

    /** A store fifty times slower than usual takes this long for a transaction. */
    private static final long SLOW_SAVE_MS = 700;

    private static final long SLOW_ADVICE_MS = 900;

    private final SchedulerLimits limits;
    private final long offsetMs;
    private SimulatedFleet fleet;
    private String victim;
    private long lostAtMs;
    /** How long after its worker the leader is lost, where it is. */
    private long leaderLostAfterMs;

    WorkerLossScenario(SchedulerLimits limits, long offsetMs) {
        this.limits = limits;
        this.offsetMs = offsetMs;
        this.leaderLostAfterMs = offsetMs * 3;
        fleet = new SimulatedFleet(new SchedulerFixture(1, limits));
        fleet.needsTicket = (task, worker) -> true;
        for (int i = 0; i < WORKERS; i++) {
            fleet.with(worker("w" + i, 4_000));
        }
        fleet.run(1_000);
        fleet.fixture.scheduler.accept(job(fleet));
        fleet.run(SETTLED_MS + offsetMs);
        victim = fleet.startsOf(JOB).getLast().worker();
    }

    /** Sets the rate of the clock of the task's worker. */
    WorkerLossScenario withClockRate(double rate) {
        fleet.workers.get(victim).clockRate = rate;
        return this;
    }

    /** Sets how long after its worker the leader is lost, where it is. */
    WorkerLossScenario withLeaderLostAfter(long ms) {
        leaderLostAfterMs = ms;
        return this;
    }

    /** Loses the task's worker for good, and lets the fleet go on. */
    WorkerLossScenario lose(Loss loss, Trouble... troubles) {
        lostAtMs = fleet.fixture.nowMs;
        SimulatedWorker lost = fleet.workers.get(victim);
        switch (loss) {
            case GONE, REPLACED -> fleet.leave(victim);
            case DARK -> {
                lost.reachable = false;
                lost.runs.clear();
            }
            case CUT -> lost.reachable = false;
        }
        boolean leaderLost = false;
        for (Trouble trouble : troubles) {
            switch (trouble) {
                case NONE -> {}
                case LEADER_LOST -> leaderLost = true;
                case SLOW_STORE -> fleet.saveMs = SLOW_SAVE_MS;
                case SLOW_ADVICE -> fleet.adviceExtraMs = SLOW_ADVICE_MS;
                case START_LOST -> fleet.lostStarts = 1;
                case START_REFUSED -> fleet.refusedStarts = 1;
            }
        }
        long leaderLostAtMs = leaderLost ? lostAtMs + leaderLostAfterMs : Long.MAX_VALUE;
        long endMs = lostAtMs + HORIZON_MS;
        while (fleet.fixture.nowMs < endMs) {
            long elapsedMs = fleet.fixture.nowMs - lostAtMs;
            if (loss == Loss.REPLACED && elapsedMs >= REPLACED_AFTER_MS && !fleet.workers.containsKey("next")) {
                fleet.with(changed(worker("next", 4_000), lost.entry.address(), false, SchedulerFixture.INCARNATION));
            }
            if (loss == Loss.DARK && elapsedMs >= DEREGISTERED_AFTER_MS) {
                fleet.leave(victim);
            }
            if (fleet.fixture.nowMs >= leaderLostAtMs) {
                takeOver(TAKEOVER_MS);
                leaderLostAtMs = Long.MAX_VALUE;
            }
            fleet.run(100);
        }
        return this;
    }

    /** Cuts the task's worker off for some time. */
    WorkerLossScenario cutOff(long ms) {
        lostAtMs = fleet.fixture.nowMs;
        fleet.workers.get(victim).reachable = false;
        fleet.run(ms);
        fleet.workers.get(victim).reachable = true;
        fleet.run(HORIZON_MS);
        return this;
    }

    /** Lets nobody command for some time, after which the same leader goes on. */
    WorkerLossScenario storeAway(long ms) {
        lostAtMs = fleet.fixture.nowMs;
        fleet.withoutAuthority = true;
        fleet.run(ms);
        fleet.withoutAuthority = false;
        fleet.run(HORIZON_MS);
        return this;
    }

    /** Ends the leader; the next one gives its first orders after some time. */
    WorkerLossScenario loseLeader(long ms) {
        lostAtMs = fleet.fixture.nowMs;
        takeOver(ms);
        fleet.run(HORIZON_MS);
        return this;
    }

    /** Returns how long the task was away, from the loss or from when its worker ended it; empty when it stayed away. */
    OptionalLong awayMs() {
        SimulatedWorker lost = fleet.workers.get(victim);
        long endedAtMs = lost != null && lost.lapsedAtMs >= 0 ? lost.lapsedAtMs : lostAtMs;
        return fleet.startsOf(JOB).stream()
                .mapToLong(SimulatedFleet.Started::atMs)
                .filter(atMs -> atMs > lostAtMs)
                .map(atMs -> atMs - endedAtMs)
                .findFirst();
    }

    boolean lapsed() {
        return fleet.workers.get(victim).lapsedAtMs >= 0;
    }

    boolean startedTwice() {
        return fleet.startedTwice > 0;
    }

    private void takeOver(long afterMs) {
        SimulatedFleet former = fleet;
        Map<String, WorkerClaims> claims = new HashMap<>();
        for (Effect effect : former.fixture.effects) {
            if (effect instanceof Effect.Save save) {
                save.claims().forEach(record -> claims.put(record.id(), record));
                save.removedWorkers().forEach(claims::remove);
            }
        }
        SchedulerFixture fixture = new SchedulerFixture(2, limits);
        long beginsAtMs = former.fixture.nowMs + afterMs;
        for (long atMs = former.fixture.nowMs; atMs <= beginsAtMs; atMs += 20) {
            long nowMs = atMs;
            former.workers.values().forEach(one -> one.advance(nowMs));
        }
        fixture.advance(beginsAtMs - fixture.nowMs);
        fleet = new SimulatedFleet(fixture);
        fleet.needsTicket = former.needsTicket;
        fleet.workers.putAll(former.workers);
        fleet.started.addAll(former.started);
        // the lease row tells it to the next leader
        fleet.predecessorEndsMs = former.fixture.nowMs + AUTHORITY_MS;
        fixture.scheduler.storeClock(new StoreClock(fixture.nowMs, fixture.nowMs, fleet.predecessorEndsMs));
        fixture.scheduler.restore(
                List.of(new StoredJob(job(fleet), Optional.empty(), false)),
                Map.of(),
                Set.of(),
                List.copyOf(claims.values()));
    }

    private static Job job(SimulatedFleet fleet) {
        return fleet.fixture.job(
                JOB,
                route(1, 2, Optional.of(ADVICE)),
                step(TASK.index() + 1, 500).longRunning(true).build());
    }

    /** How a worker is lost. */
    enum Loss {
        /** It has crashed, and its entry is gone. */
        GONE,
        /** It has crashed, and its entry stays for some seconds. */
        DARK,
        /** It has crashed, and another worker comes to its address. */
        REPLACED,
        /** No call reaches it any more, and it runs on until its lease ends. */
        CUT
    }

    /** What goes wrong besides. */
    enum Trouble {
        NONE,
        LEADER_LOST,
        SLOW_STORE,
        SLOW_ADVICE,
        START_LOST,
        START_REFUSED
    }
}
