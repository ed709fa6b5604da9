package org.acaciafold.entry;

import java.util.List;
import java.util.function.BiConsumer;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepName;
import org.acaciafold.platform.AdviceCalls;
import org.acaciafold.platform.WorkerCalls;

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
 * @param adviceCalls calls for advice
 */
record HostContext(
        String name,
        Loop loop,
        StoreAccess store,
        TermStore records,
        ConfigWatch config,
        PeerBus bus,
        WorkerCalls workers,
        AdviceCalls adviceCalls) {
    /** Makes a call for advice and hands its grants on, with false when it failed. */
    void advise(StepName step, List<String> asked, long timeoutMs, BiConsumer<Boolean, List<Grant>> then) {
        adviceCalls
                .ask(step, asked, timeoutMs)
                .subscribe(
                        grants -> loop.execute(() -> then.accept(true, grants)),
                        error -> loop.execute(() -> then.accept(false, List.of())));
    }
}
