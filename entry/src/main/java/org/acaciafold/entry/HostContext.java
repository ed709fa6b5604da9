package org.acaciafold.entry;

import java.util.List;
import java.util.function.BiConsumer;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepName;
import org.acaciafold.platform.AdviceClient;
import org.acaciafold.platform.WorkerAgentClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the parts of a host share.
 *
 * @param name the host's name
 * @param loop its thread
 * @param store the store
 * @param records the slice's records in it
 * @param config the operators' configuration
 * @param bus the messages between hosts
 * @param workers orders to workers
 * @param adviceClient calls for advice
 * @param metrics what is counted
 */
record HostContext(
        String name,
        HostEventLoop loop,
        StoreAccess store,
        TermStore records,
        ConfigWatch config,
        PeerBus bus,
        WorkerAgentClient workers,
        AdviceClient adviceClient,
        HostMetrics metrics) {
    private static final Logger LOG = LoggerFactory.getLogger(HostContext.class);

    /** Makes a call for advice that a peer asked for, and sends it the answer. */
    void requestAdvice(String to, PeerMessage.AdviceWanted wanted) {
        requestAdvice(
                wanted.step(),
                wanted.workers(),
                wanted.timeoutMs(),
                (answered, grants) ->
                        bus.send(to, new PeerMessage.AdviceGiven(wanted.epoch(), wanted.step(), answered, grants)));
    }

    /** Makes a call for advice and hands its grants on, with false when it failed. */
    void requestAdvice(
            StepName step, List<String> workerIds, long timeoutMs, BiConsumer<Boolean, List<Grant>> callback) {
        long requestedAtMs = loop.nowMs();
        adviceClient
                .ask(step, workerIds, timeoutMs)
                .subscribe(
                        grants -> loop.execute(() -> {
                            metrics.advice(true, loop.nowMs() - requestedAtMs);
                            callback.accept(true, grants);
                        }),
                        error -> loop.execute(() -> {
                            metrics.advice(false, loop.nowMs() - requestedAtMs);
                            LOG.warn("advice call failed step={} reason={}", step, error.getMessage());
                            callback.accept(false, List.of());
                        }));
    }
}
