package org.acaciafold.entry;

import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Makes calls after the start of a host, so that its HTTP code is compiled before it is needed.
 *
 * <p>A host that takes over leadership makes some hundred calls within a second. On a small processor these take several
 * times as long when their code has hardly run before.
 *
 * <pre>{@code
 * new HttpWarmUp(loop, () -> http.exchange(readinessCheck)).run();
 * }</pre>
 */
final class HttpWarmUp {
    /** The runtime compiles a method after 200 invocations. */
    static final int CALLS = 250;

    /** Spreads the calls over some seconds, so that clients' requests hardly wait for them. */
    static final long PAUSE_MS = 12;

    private static final Logger LOG = LoggerFactory.getLogger(HttpWarmUp.class);

    private final Timers loop;
    private final Supplier<Mono<?>> call;
    private int remaining = CALLS;

    /**
     * Creates the warm-up of a host.
     *
     * @param loop the host's timers
     * @param call makes one call
     */
    HttpWarmUp(Timers loop, Supplier<Mono<?>> call) {
        this.loop = loop;
        this.call = call;
    }

    /** Makes the next call, and schedules the one after it; a call that fails ends the warm-up. */
    void run() {
        if (remaining == 0) {
            LOG.info("warm-up complete calls={}", CALLS);
            return;
        }
        remaining--;
        call.get()
                .subscribe(
                        answer -> loop.after(PAUSE_MS, this::run),
                        error -> LOG.warn("warm-up ended remaining={} reason={}", remaining, error.getMessage()));
    }
}
