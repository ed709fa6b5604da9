package org.acaciafold.fleet.fuzz;

import java.util.List;

/** Injects faults into a world: all the while, or several at once with calm between. */
final class Faults {
    private static final int MEAN_TICKS_BETWEEN_FAULTS = 60;
    private static final int LEAST_CALM_MS = 9_000;
    private static final int MOST_CALM_MS = 14_000;
    private static final int MOST_FAULTS_AT_ONCE = 6;
    private static final int BURST_MS = 2_000;

    private final World world;
    private final Timeline timeline;
    private final Fleet fleet;
    private final Features features;
    private long nextBurstMs;
    private boolean over;
    private boolean scheduled;

    Faults(World world, Timeline timeline, Fleet fleet, Features features) {
        this.world = world;
        this.timeline = timeline;
        this.fleet = fleet;
        this.features = features;
        this.nextBurstMs = timeline.nowMs() + timeline.between(2_000, 6_000);
        world.network.lossy = !features.bursts();
    }

    /** Injects the faults of one tick. */
    void inject() {
        if (features.troubles()) {
            if (!scheduled) {
                scheduled = true;
                new Troubles(world, timeline, fleet).schedule();
                world.platform.scheduleSpans();
            }
            world.platform.inject();
            return;
        }
        world.platform.inject();
        if (!features.bursts()) {
            world.platform.activate(timeline.nowMs() + Timeline.TICK_MS);
            timeline.disturb(timeline.nowMs());
            if (timeline.oneIn(MEAN_TICKS_BETWEEN_FAULTS)) {
                injectOne(1);
            }
            return;
        }
        if (timeline.nowMs() >= nextBurstMs) {
            burst();
        }
    }

    /** Ends all faults; only their effects remain. */
    void end() {
        over = true;
        world.platform.end();
        world.network.lossy = false;
        fleet.heal();
        fleet.workers.values().stream().filter(worker -> worker.crashed).forEach(this::restart);
        world.limits.restoreAll(timeline.nowMs());
    }

    private void burst() {
        int count = timeline.between(2, MOST_FAULTS_AT_ONCE);
        long endMs = timeline.nowMs() + BURST_MS;
        boolean lossy = timeline.oneIn(2);
        world.network.lossy = lossy;
        timeline.disturb(endMs);
        world.platform.activate(endMs);
        timeline.schedule(endMs, () -> world.network.lossy = false);
        for (int i = 0; i < count; i++) {
            later(timeline.between(0, BURST_MS), () -> injectOne(2));
        }
        nextBurstMs = endMs + timeline.between(LEAST_CALM_MS, MOST_CALM_MS);
    }

    /** Injects one fault, whose length is divided so that faults of a burst end soon. */
    private void injectOne(int divisor) {
        FakeWorker worker = fleet.drawn();
        switch (timeline.random.nextInt(16)) {
            case 0 -> crash(worker, 50 + timeline.between(0, 5_000) / divisor);
            case 1 -> cut(worker, 500 + timeline.between(0, 14_000) / (divisor * divisor));
            case 2 -> world.replaceLeader(200 + timeline.between(0, 3_000));
            case 3 -> world.cancelOne();
            case 4 -> drain(worker, 1_000 + timeline.between(0, 8_000));
            case 5 -> evacuate(worker.shape.domain(), 1_000 + timeline.between(0, 8_000));
            case 6 -> worker.reachable = true;
            case 7 -> leave(worker);
            case 8 -> move(worker);
            case 9 -> storeAway(timeline.between(500, 6_000));
            case 10 -> lowerLimit(timeline.between(1_000, 5_000));
            case 11 -> leadersInARow();
            case 12 -> cutDomain(worker.shape.domain(), 500 + timeline.between(0, 6_000) / divisor);
            case 13 -> fleet.hideUntil(worker, timeline.nowMs() + timeline.between(500, 4_000));
            case 14 -> refuse(worker, timeline.between(500, 4_000));
            default -> world.delaySaves(timeline.between(500, 4_000));
        }
    }

    private void later(long delayMs, Runnable fault) {
        timeline.schedule(timeline.nowMs() + delayMs, () -> {
            if (!over) {
                fault.run();
            }
        });
    }

    private void crash(FakeWorker worker, long downMs) {
        if (!worker.up()) {
            return;
        }
        fleet.lost(worker);
        worker.crash(timeline.nowMs());
        timeline.disturb(timeline.nowMs() + downMs);
        later(downMs, () -> restart(worker));
    }

    private void restart(FakeWorker worker) {
        if (worker.crashed && !worker.gone) {
            worker.restart(timeline.nowMs());
        }
    }

    private void cut(FakeWorker worker, long forMs) {
        worker.reachable = false;
        timeline.disturb(timeline.nowMs() + forMs);
        if (timeline.oneIn(2)) {
            later(Math.min(forMs, 3_000), () -> fleet.hideUntil(worker, worker.reachable ? 0 : Long.MAX_VALUE));
        }
        later(forMs, () -> {
            worker.reachable = true;
            fleet.hideUntil(worker, timeline.nowMs() + timeline.between(0, 500));
        });
    }

    private void cutDomain(String domain, long forMs) {
        List.copyOf(fleet.workers.values()).stream()
                .filter(worker -> worker.shape.domain().equals(domain))
                .forEach(worker -> cut(worker, forMs));
    }

    private void drain(FakeWorker worker, long forMs) {
        fleet.drain(worker, true);
        later(forMs, () -> fleet.drain(worker, false));
    }

    private void evacuate(String domain, long forMs) {
        world.evacuate(domain, true);
        later(forMs, () -> world.evacuate(domain, false));
    }

    private void refuse(FakeWorker worker, long forMs) {
        worker.unhealthy = true;
        timeline.disturb(timeline.nowMs() + forMs);
        later(forMs, () -> worker.unhealthy = false);
    }

    /** Ends a worker for good, after a drain or without, and starts another one under a new identifier. */
    private void leave(FakeWorker worker) {
        if (fleet.permanent(worker) || !worker.up()) {
            return;
        }
        long afterMs = timeline.oneIn(2) ? 0 : timeline.between(500, 3_000);
        fleet.drain(worker, afterMs > 0);
        timeline.disturb(timeline.nowMs() + afterMs);
        later(afterMs, () -> {
            fleet.lost(worker);
            worker.crash(timeline.nowMs());
            worker.gone = true;
        });
        later(afterMs + timeline.between(500, 5_000), () -> world.addWorker(worker.shape.service()));
    }

    /** Restarts a worker under its identifier at another address. */
    private void move(FakeWorker worker) {
        if (!worker.up()) {
            return;
        }
        crash(worker, timeline.between(50, 2_500));
        worker.address = features.moves() ? worker.id + ":" + timeline.between(2, 1_000) : worker.address;
    }

    /** Makes the store unavailable; entries of workers expire meanwhile. */
    private void storeAway(long forMs) {
        long backMs = timeline.nowMs() + forMs;
        world.storeAway(backMs);
        timeline.disturb(backMs + 2_000);
        if (forMs > 3_000) {
            fleet.workers.values().forEach(worker -> fleet.hideUntil(worker, backMs + timeline.between(0, 2_000)));
        }
    }

    private void lowerLimit(long forMs) {
        String workspace = world.limits.workspaces().get(timeline.random.nextInt(2));
        long lowered = world.limits.usualMillis(workspace) / timeline.between(2, 10);
        long nowMs = timeline.nowMs();
        world.limits.lower(workspace, lowered, nowMs, nowMs + forMs);
        world.configure();
        timeline.schedule(nowMs + forMs, world::configure);
    }

    private void leadersInARow() {
        long atMs = 0;
        for (int i = timeline.between(2, 3); i > 0; i--) {
            long downMs = timeline.between(200, 600);
            later(atMs, () -> world.replaceLeader(downMs));
            atMs += downMs + timeline.between(20, 800);
        }
        timeline.disturb(timeline.nowMs() + atMs);
    }
}
