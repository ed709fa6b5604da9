package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Troubles that overlap within half a minute, after which the traffic goes on: workers that are lost for good or come back
 * behind a cut, late answers, late orders, a lost rack, a store that is away, hosts that are cut off or all killed.
 */
final class Troubles {
    /** When the last trouble has ended at the latest; only its effects remain. */
    static final long LENGTH_MS = 40_000;

    /** When many jobs come at once, from the first trouble on. */
    static final long OVERLOAD_MS = 30_000;

    static final int MORE_JOBS = 60;
    static final int OVERLOAD_JOBS = 150;

    private static final long ENTRY_EXPIRY_MS = 3_000;
    private static final int JITTER_MS = 2_500;
    private static final int LATE_ORDERS = 2;

    private final World world;
    private final Timeline timeline;
    private final Fleet fleet;

    Troubles(World world, Timeline timeline, Fleet fleet) {
        this.world = world;
        this.timeline = timeline;
        this.fleet = fleet;
    }

    /** Schedules the troubles of a world; each but the last is left out now and then. */
    void schedule() {
        sometimes(4_000, () -> drawn(0.2).forEach(this::loseForGood));
        sometimes(5_000, () -> drawn(0.1).forEach(worker -> cut(worker, timeline.between(4_000, 20_000))));
        for (int i = 0; i < 3; i++) {
            sometimes(6_000 + i * 3_000, () -> world.delaySaves(timeline.between(500, 3_000)));
        }
        sometimes(9_000, () -> drawn(0.25).forEach(this::replaceBehindCut));
        sometimes(12_000, () -> world.replaceLeader(timeline.between(500, 3_000)));
        sometimes(14_000, this::delayOrders);
        sometimes(18_000, this::loseRack);
        sometimes(22_000, () -> storeAway(timeline.between(2_000, 5_000)));
        sometimes(26_000, this::cutHosts);
        sometimes(30_000, () -> drawn(0.2).forEach(this::loseForGood));
        at(35_000, () -> world.replaceLeader(timeline.between(1_000, 3_000)));
    }

    private void sometimes(long atMs, Runnable trouble) {
        if (!timeline.oneIn(4)) {
            at(atMs, trouble);
        }
    }

    private void at(long atMs, Runnable trouble) {
        later(atMs - JITTER_MS + timeline.between(0, 2 * JITTER_MS), trouble);
    }

    private void later(long delayMs, Runnable trouble) {
        timeline.schedule(timeline.nowMs() + delayMs, trouble);
    }

    private List<FakeWorker> drawn(double share) {
        List<FakeWorker> up = new ArrayList<>(
                fleet.workers.values().stream().filter(FakeWorker::up).toList());
        Collections.shuffle(up, timeline.random);
        return up.subList(0, (int) Math.ceil(up.size() * share));
    }

    /** Ends a worker without a successor; its machine resets calls, answers nothing, or gets another worker. */
    private void loseForGood(FakeWorker worker) {
        if (fleet.permanent(worker) || !worker.up()) {
            return;
        }
        timeline.disturb(timeline.nowMs());
        crash(worker);
        worker.gone = true;
        worker.silent = timeline.oneIn(2);
        if (!worker.silent && timeline.oneIn(2)) {
            later(timeline.between(300, 4_000), () -> {
                FakeWorker successor = world.addWorker(worker.shape.service());
                successor.address = worker.address;
            });
        }
    }

    private void crash(FakeWorker worker) {
        fleet.lost(worker);
        worker.crash(timeline.nowMs());
    }

    private void restart(FakeWorker worker) {
        if (worker.crashed && !worker.gone) {
            worker.restart(timeline.nowMs());
        }
    }

    /** Cuts a worker off; its runs go on until its lease ends, and its entry expires. */
    private void cut(FakeWorker worker, long forMs) {
        timeline.disturb(timeline.nowMs() + forMs);
        worker.reachable = false;
        later(ENTRY_EXPIRY_MS, () -> {
            if (!worker.reachable) {
                fleet.hideUntil(worker, Long.MAX_VALUE);
            }
        });
        later(forMs, () -> {
            worker.reachable = true;
            fleet.hideUntil(worker, timeline.nowMs() + timeline.between(0, 500));
        });
    }

    private void replaceBehindCut(FakeWorker worker) {
        cut(worker, timeline.between(3_000, 8_000));
        later(timeline.between(200, 2_500), () -> {
            if (worker.up()) {
                crash(worker);
                later(timeline.between(100, 500), () -> restart(worker));
            }
        });
    }

    private void delayOrders() {
        long forMs = timeline.between(2_000, 8_000);
        timeline.disturb(timeline.nowMs() + forMs);
        world.network.lateOrders(LATE_ORDERS);
        later(forMs, world.network::usualOrders);
    }

    private void loseRack() {
        String rack = fleet.drawn().shape.rack();
        long forMs = timeline.between(1_000, 4_000);
        timeline.disturb(timeline.nowMs() + forMs);
        for (FakeWorker worker : fleet.workers.values()) {
            if (worker.shape.rack().equals(rack) && worker.up()) {
                crash(worker);
                later(forMs, () -> restart(worker));
            }
        }
    }

    private void storeAway(long forMs) {
        long backMs = timeline.nowMs() + forMs;
        world.storeAway(backMs);
        timeline.disturb(backMs + 2_000);
        if (forMs > ENTRY_EXPIRY_MS) {
            fleet.workers.values().stream()
                    .filter(worker -> worker.reachable)
                    .forEach(worker -> fleet.hideUntil(worker, backMs + timeline.between(0, 2_000)));
        }
    }

    /** Cuts hosts off: their calls for advice are lost, and some seconds later they count as absent. */
    private void cutHosts() {
        List<String> all = world.hosts();
        List<String> cut = all.subList(1, 1 + timeline.between(1, 2));
        long forMs = timeline.between(2_000, 5_000);
        timeline.disturb(timeline.nowMs() + forMs);
        world.effects.cutHosts(cut);
        later(
                1_500,
                () -> world.hosts(
                        all.stream().filter(host -> !cut.contains(host)).toList()));
        later(forMs, () -> {
            world.effects.cutHosts(List.of());
            world.hosts(all);
        });
    }
}
