package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/** Delivers orders to workers and their answers; while it is lossy, some arrive late and some answers are lost. */
final class Network {
    private static final long ORDER_TIMEOUT_MS = 900;
    private static final int LOSS = 40;

    private final Timeline timeline;
    private final Fleet fleet;
    boolean lossy;
    private int lateEvery;

    Network(Timeline timeline, Fleet fleet) {
        this.timeline = timeline;
        this.fleet = fleet;
    }

    /** Lets one in so many orders arrive late until further notice. */
    void lateOrders(int oneIn) {
        lateEvery = oneIn;
    }

    void usualOrders() {
        lateEvery = 0;
    }

    <T> void deliver(
            String id, String address, Function<FakeWorker, Optional<T>> execute, Consumer<Optional<T>> answered) {
        FakeWorker worker = fleet.workers.get(id);
        long nowMs = timeline.nowMs();
        boolean late = lossy && timeline.oneIn(LOSS) || lateEvery > 0 && timeline.oneIn(lateEvery);
        boolean lost = lossy && timeline.oneIn(LOSS);
        long arrivesMs = late ? nowMs + timeline.between(2_000, 12_000) : nowMs + timeline.between(1, 8);
        List<Optional<T>> answer = new ArrayList<>();
        long startedAtMs = worker.startedAtMs;
        boolean listens = worker.address.equals(address);
        timeline.schedule(arrivesMs, () -> {
            // an order carries the incarnation of the worker that it is meant for
            if (listens && worker.reachable && worker.up() && worker.startedAtMs == startedAtMs) {
                answer.add(execute.apply(worker));
            }
        });
        boolean reset = worker.reachable && !worker.silent && (!worker.up() || !listens);
        long answerMs = !reset && (late || lost || !worker.reachable || worker.silent)
                ? nowMs + ORDER_TIMEOUT_MS
                : arrivesMs + 5;
        timeline.schedule(
                answerMs,
                () -> answered.accept(late || lost || answer.isEmpty() ? Optional.empty() : answer.getFirst()));
    }
}
