package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.acaciafold.fleet.Grant;

/**
 * Injects the platform's faults of a world while its other faults last; after these, advice and registry know all.
 *
 * <p>It draws from a source of its own, so that a world without such faults is the same as before.
 */
final class PlatformFaults {
    private static final long SOURCE = 6_700_417;
    private static final int MOST_LATE_MS = 2_000;
    private static final int CALLS = 8;
    private static final int LEAST_DELAY_MS = 300;
    private static final int MOST_DELAY_MS = 4_000;
    private static final int MEAN_TICKS_BETWEEN_GAPS = 50;
    private static final int MEAN_TICKS_BETWEEN_RESTARTS = 40;
    private static final int LEAST_DARK_MS = 200;
    private static final int MOST_DARK_MS = 900;
    /** One in so many workers that have restarted is lost for good, and one is cut off. */
    private static final int LOST_AGAIN = 3;

    private static final int LEAST_UP_MS = 2_500;
    private static final int MOST_UP_MS = 6_000;
    private static final int CUT_MS = 9_000;
    private static final int LEAST_GAP_MS = 300;
    private static final int MOST_GAP_MS = 2_500;
    private static final long POLICY_MS = 3_000;

    /** While troubles overlap, faults come in this many spans. */
    private static final int SPANS = 6;

    private static final int MOST_SPAN_MS = 4_000;

    private final Set<PlatformFault> kinds;
    private final Random random;
    private final Timeline timeline;
    private final Fleet fleet;
    private final Advisor advisor;
    private final Map<String, Knowledge> known = new HashMap<>();
    private long activeUntilMs = Long.MIN_VALUE;
    private boolean over;

    PlatformFaults(long seed, Set<PlatformFault> kinds, Timeline timeline, Fleet fleet, Advisor advisor) {
        this.kinds = kinds;
        this.random = new Random(seed * SOURCE);
        this.timeline = timeline;
        this.fleet = fleet;
        this.advisor = advisor;
    }

    boolean has(PlatformFault kind) {
        return kinds.contains(kind);
    }

    /** Lets the faults come until a time, during which nothing counts as calm. */
    void activate(long untilMs) {
        if (!kinds.isEmpty()) {
            activeUntilMs = Math.max(activeUntilMs, untilMs);
            timeline.disturb(untilMs);
        }
    }

    /** Schedules spans with faults for a world in which troubles overlap; the last ends with the troubles. */
    void scheduleSpans() {
        for (int i = 0; i < SPANS && !kinds.isEmpty(); i++) {
            long fromMs = timeline.nowMs() + random.nextInt((int) Troubles.LENGTH_MS - MOST_SPAN_MS);
            long untilMs = fromMs + 1 + random.nextInt(MOST_SPAN_MS);
            timeline.schedule(fromMs, () -> activate(untilMs));
        }
    }

    /** Injects the faults of one tick. */
    void inject() {
        if (has(PlatformFault.LATE_ADVICE)) {
            fleet.workers.values().forEach(this::learn);
        }
        if (occurs(PlatformFault.LAPSED_ENTRIES, MEAN_TICKS_BETWEEN_GAPS)) {
            FakeWorker worker = drawn();
            if (fleet.entered(worker)) {
                fleet.hideUntil(worker, gapUntilMs());
            }
        }
        if (occurs(PlatformFault.UNREADABLE_ENTRIES, MEAN_TICKS_BETWEEN_GAPS)) {
            fleet.garbleUntil(drawn(), gapUntilMs());
        }
        if (occurs(PlatformFault.DARK_RESTARTS, MEAN_TICKS_BETWEEN_RESTARTS)) {
            restartDark(drawn());
        }
        boolean changed = has(PlatformFault.CHANGED_POLICY) && active();
        advisor.policy = changed ? 1 + timeline.nowMs() / POLICY_MS : Advisor.LASTING_POLICY;
    }

    void end() {
        over = true;
        advisor.policy = Advisor.LASTING_POLICY;
    }

    boolean refusesCall() {
        return occurs(PlatformFault.REFUSED_ADVICE, CALLS);
    }

    /** Returns how much longer a call takes than it should. */
    long delayMs() {
        return occurs(PlatformFault.SLOW_ADVICE, CALLS) ? between(LEAST_DELAY_MS, MOST_DELAY_MS) : 0;
    }

    /** Returns whether advice knows a worker now. */
    boolean knows(FakeWorker worker) {
        boolean late = has(PlatformFault.LATE_ADVICE) && !over;
        if (late && fleet.entered(worker)) {
            Knowledge knowledge = known.get(worker.id);
            return knowledge != null && knowledge.isAbout(worker) && timeline.nowMs() >= knowledge.fromMs;
        }
        return !late && !has(PlatformFault.ADVICE_BY_REGISTRY) || fleet.entered(worker);
    }

    /** Returns an answer as it arrives: sometimes without some of its rows. */
    List<Grant> received(List<Grant> grants) {
        if (grants.isEmpty() || !occurs(PlatformFault.SHORT_ADVICE, CALLS)) {
            return grants;
        }
        List<Grant> shuffled = new ArrayList<>(grants);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, random.nextInt(grants.size()));
    }

    private boolean active() {
        return !over && timeline.nowMs() <= activeUntilMs;
    }

    private boolean occurs(PlatformFault kind, int oneIn) {
        return has(kind) && active() && random.nextInt(oneIn) == 0;
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }

    private FakeWorker drawn() {
        List<FakeWorker> all = List.copyOf(fleet.workers.values());
        return all.get(random.nextInt(all.size()));
    }

    private long gapUntilMs() {
        long untilMs = timeline.nowMs() + between(LEAST_GAP_MS, MOST_GAP_MS);
        timeline.disturb(untilMs);
        return untilMs;
    }

    private void restartDark(FakeWorker worker) {
        if (!worker.up()) {
            return;
        }
        loseDark(worker);
        timeline.schedule(timeline.nowMs() + between(LEAST_DARK_MS, MOST_DARK_MS), () -> {
            if (worker.crashed && !worker.gone) {
                worker.restart(timeline.nowMs());
                timeline.disturb(timeline.nowMs());
            }
        });
        long againMs = timeline.nowMs() + MOST_DARK_MS + between(LEAST_UP_MS, MOST_UP_MS);
        switch (random.nextInt(LOST_AGAIN)) {
            case 0 -> timeline.schedule(againMs, () -> loseForGood(worker));
            case 1 -> timeline.schedule(againMs, () -> cutOff(worker));
            default -> {}
        }
    }

    private void loseDark(FakeWorker worker) {
        fleet.lost(worker);
        worker.goDark(timeline.nowMs());
        timeline.disturb(timeline.nowMs());
    }

    private void loseForGood(FakeWorker worker) {
        if (!over && worker.up() && !fleet.permanent(worker)) {
            loseDark(worker);
            worker.gone = true;
        }
    }

    private void cutOff(FakeWorker worker) {
        if (!over && worker.up() && worker.reachable) {
            worker.reachable = false;
            timeline.disturb(timeline.nowMs());
            timeline.schedule(timeline.nowMs() + CUT_MS, () -> {
                worker.reachable = true;
                timeline.disturb(timeline.nowMs());
            });
        }
    }

    private void learn(FakeWorker worker) {
        Knowledge knowledge = known.get(worker.id);
        if (!fleet.entered(worker)) {
            known.remove(worker.id);
        } else if (knowledge == null || !knowledge.isAbout(worker)) {
            long fromMs = timeline.nowMs() + between(0, MOST_LATE_MS);
            known.put(worker.id, new Knowledge(worker.startedAtMs, fromMs));
            timeline.disturb(fromMs);
        }
    }

    /**
     * What advice knows of a worker.
     *
     * @param incarnation the incarnation
     * @param fromMs from when on it knows it
     */
    private record Knowledge(long incarnation, long fromMs) {
        private boolean isAbout(FakeWorker worker) {
            return incarnation == worker.startedAtMs;
        }
    }
}
