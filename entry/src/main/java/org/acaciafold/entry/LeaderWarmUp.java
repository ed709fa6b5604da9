package org.acaciafold.entry;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Makes calls after the start of a host, so that its HTTP code is compiled before it is needed.
 *
 * <p>A host that takes over leadership makes some hundred calls within a second. On a small processor these take several
 * times as long when their code has hardly run before. The calls take about half a second of processor time, so hosts
 * that will hardly lead do not make them.
 *
 * <pre>{@code
 * new LeaderWarmUp(loop, leadership::isAmongLargest, () -> http.exchange(readinessCheck)).run();
 * }</pre>
 */
final class LeaderWarmUp {
    /** The runtime compiles a method after 200 invocations. */
    static final int CALLS = 250;

    /** Spreads the calls over some seconds, so that clients' requests hardly wait for them. */
    static final long PAUSE_MS = 12;

    /** How often a host checks whether it may lead, short against the time after which it may take over. */
    static final long CHECK_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(LeaderWarmUp.class);

    private final Timers loop;
    private final BooleanSupplier mayLead;
    private final Supplier<Mono<?>> call;
    private int remaining = CALLS;

    /**
     * Creates the warm-up of a host.
     *
     * @param loop the host's timers
     * @param mayLead returns whether the host is likely to lead
     * @param call makes one call
     */
    LeaderWarmUp(Timers loop, BooleanSupplier mayLead, Supplier<Mono<?>> call) {
        this.loop = loop;
        this.mayLead = mayLead;
        this.call = call;
    }

    /** Makes the next call if the host may lead, and schedules the one after it; a call that fails ends the warm-up. */
    void run() {
        if (remaining == 0) {
            LOG.info("warm-up complete calls={}", CALLS);
            return;
        }
        if (!mayLead.getAsBoolean()) {
            loop.after(CHECK_MS, this::run);
            return;
        }
        remaining--;
        call.get()
                .subscribe(
                        answer -> loop.after(PAUSE_MS, this::run),
                        error -> LOG.warn("warm-up ended remaining={} reason={}", remaining, error.getMessage()));
    }
}
