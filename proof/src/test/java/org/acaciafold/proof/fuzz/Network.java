package org.acaciafold.proof.fuzz;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Delivers messages between places after a delay, and loses, duplicates and delays them while told to. */
final class Network {
    /** The place of the table service and the host list. */
    static final String PLATFORM = "platform";

    private static final int BASE_DELAY_MS = 1;
    private static final int SPREAD_MS = 3;
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

    /** Runs what is due at the given time. */
    void advance(long toMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= toMs) {
            Delivery next = queue.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = toMs;
    }

    /** Lets nothing pass between two domains, or between two nodes, for a while. */
    void cut(String first, String second, long untilMs) {
        if (!first.equals(second)) {
            cuts.merge(pair(first, second), untilMs, Math::max);
        }
    }

    /** Loses, duplicates and delays messages for a while. */
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

    /** Runs an action after some time, whatever the state of the network. */
    void later(long afterMs, Runnable action) {
        queue.add(new Delivery(nowMs + afterMs, order++, action));
    }

    /** Sends a message; the action runs at the receiver, perhaps twice or never. */
    void send(Place from, Place to, Runnable action) {
        sent++;
        boolean disturbed = disturbedUntilMs > nowMs;
        if (isCut(from, to) || disturbed && random.nextInt(PERCENT) < dropPercent) {
            return;
        }
        later(delay(disturbed), () -> deliver(from, to, action));
        if (disturbed && random.nextInt(PERCENT) < duplicatePercent) {
            later(delay(true), () -> deliver(from, to, action));
        }
    }

    /** Returns how many messages were sent. */
    long sent() {
        return sent;
    }

    private void deliver(Place from, Place to, Runnable action) {
        if (!isCut(from, to)) {
            action.run();
        }
    }

    private boolean isCut(Place from, Place to) {
        long domainsUntilMs = cuts.getOrDefault(pair(from.domain(), to.domain()), 0L);
        long nodesUntilMs = cuts.getOrDefault(pair(from.node(), to.node()), 0L);
        return Math.max(domainsUntilMs, nodesUntilMs) > nowMs;
    }

    private long delay(boolean disturbed) {
        int extra = disturbed && delayMs > 0 ? random.nextInt(delayMs) : 0;
        return BASE_DELAY_MS + random.nextInt(SPREAD_MS) + extra;
    }

    private static Set<String> pair(String first, String second) {
        Set<String> pair = new HashSet<>();
        pair.add(first);
        pair.add(second);
        return pair;
    }

    /** Where a message comes from or goes to. */
    record Place(String domain, String node) {}

    private record Delivery(long atMs, long order, Runnable action) {}
}
