package org.acaciafold.proof.fuzz;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Delivers messages between nodes after a short delay, and drops, duplicates or delays them during faults. */
final class Network {
    /** Domain and node name of the table service and the host list. */
    static final String PLATFORM = "platform";

    private static final int BASE_DELAY_MS = 1;
    private static final int JITTER_MS = 3;
    private static final int PERCENT = 100;

    private final Random random;
    private final PriorityQueue<Delivery> queue =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
    private final Map<Set<String>, Long> cuts = new HashMap<>();
    private long nowMs;
    private long order;
    private int dropPercent;
    private int duplicatePercent;
    private int delayMs;
    private long disturbedUntilMs;
    private long sent;

    private Network(Random random) {
        this.random = random;
    }

    static Network of(long seed) {
        return new Network(new Random(seed));
    }

    /** Advances the clock to the given time and runs all actions that are due by then. */
    void advance(long toMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= toMs) {
            Delivery next = queue.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = toMs;
    }

    /** Blocks all messages between two domains or two nodes until the given time. */
    void cut(String first, String second, long untilMs) {
        if (!first.equals(second)) {
            cuts.merge(pair(first, second), untilMs, Math::max);
        }
    }

    /** Drops, duplicates and delays messages until the given time. */
    void disturb(Action.Disturb how, long untilMs) {
        dropPercent = how.dropPercent();
        duplicatePercent = how.duplicatePercent();
        delayMs = how.delayMs();
        disturbedUntilMs = untilMs;
    }

    /** Ends all cuts and disturbances. */
    void heal() {
        cuts.clear();
        disturbedUntilMs = 0;
    }

    /** Schedules an action after a delay; network faults do not affect it. */
    void schedule(long afterMs, Runnable action) {
        queue.add(new Delivery(nowMs + afterMs, order++, action));
    }

    /** Sends a message; its action runs on delivery, which may happen never, once or twice. */
    void send(Location from, Location to, Runnable action) {
        sent++;
        boolean disturbed = disturbedUntilMs > nowMs;
        if (isCut(from, to) || disturbed && random.nextInt(PERCENT) < dropPercent) {
            return;
        }
        schedule(delay(disturbed), () -> deliver(from, to, action));
        if (disturbed && random.nextInt(PERCENT) < duplicatePercent) {
            schedule(delay(true), () -> deliver(from, to, action));
        }
    }

    /** Returns the number of messages sent, including those that were lost. */
    long sent() {
        return sent;
    }

    private void deliver(Location from, Location to, Runnable action) {
        if (!isCut(from, to)) {
            action.run();
        }
    }

    private boolean isCut(Location from, Location to) {
        long domainsUntilMs = cuts.getOrDefault(pair(from.domain(), to.domain()), 0L);
        long nodesUntilMs = cuts.getOrDefault(pair(from.node(), to.node()), 0L);
        return Math.max(domainsUntilMs, nodesUntilMs) > nowMs;
    }

    private long delay(boolean disturbed) {
        int extra = disturbed && delayMs > 0 ? random.nextInt(delayMs) : 0;
        return BASE_DELAY_MS + random.nextInt(JITTER_MS) + extra;
    }

    private static Set<String> pair(String first, String second) {
        Set<String> pair = new HashSet<>();
        pair.add(first);
        pair.add(second);
        return pair;
    }

    /** Identifies the sender or receiver of a message by its domain and node. */
    record Location(String domain, String node) {}

    private record Delivery(long atMs, long order, Runnable action) {}
}
