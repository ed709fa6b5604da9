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
 * The components that the parts of a host share.
 *
 * @param name the host's name
 * @param loop the host's event loop
 * @param store access to the platform's store
 * @param malformed reports the rows that this host ignores
 * @param records decodes the slice's records
 * @param termStore the slice's records in the store
 * @param config the operators' configuration
 * @param bus sends messages to peers
 * @param workers the client for the worker agents
 * @param adviceClient the client for placement advice
 * @param metrics the host's metrics
 * @param view what the running term of the host believes, for operators
 */
record HostContext(
        String name,
        HostEventLoop loop,
        StoreAccess store,
        MalformedRows malformed,
        RecordReader records,
        TermStore termStore,
        ConfigWatch config,
        PeerBus bus,
        WorkerAgentClient workers,
        AdviceClient adviceClient,
        HostMetrics metrics,
        LeaderView view) {
    private static final Logger LOG = LoggerFactory.getLogger(HostContext.class);

    /** Requests placement advice on behalf of a peer, and sends it the result. */
    void requestAdvice(String to, PeerMessage.AdviceWanted wanted) {
        requestAdvice(
                wanted.step(),
                wanted.workers(),
                wanted.timeoutMs(),
                (answered, grants) ->
                        bus.send(to, new PeerMessage.AdviceGiven(wanted.epoch(), wanted.step(), answered, grants)));
    }

    /** Requests placement advice and passes the grants to the callback; the flag is false when the call failed. */
    void requestAdvice(
            StepName step, List<String> workerIds, long timeoutMs, BiConsumer<Boolean, List<Grant>> callback) {
        long requestedAtMs = loop.nowMs();
        adviceClient
                .requestAdvice(step, workerIds, timeoutMs)
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
