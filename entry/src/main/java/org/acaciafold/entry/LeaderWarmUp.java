package org.acaciafold.entry;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Runs the code of a leader after the start of a host, so that it is compiled before it is needed.
 *
 * <p>A host that takes over leadership makes some hundred calls and ticks within a second. On a small processor these
 * take several times as long when their code has hardly run before. The warm-up takes about a second of processor time,
 * so hosts that will hardly lead do without it.
 *
 * <pre>{@code
 * new LeaderWarmUp(loop, leadership::mayLeadNext, scheduling::step, () -> http.exchange(readinessCheck)).run();
 * }</pre>
 */
final class LeaderWarmUp {
    /** The runtime compiles a method after 200 invocations. */
    static final int ROUNDS = 250;

    /** Spreads the rounds over some seconds, so that clients' requests hardly wait for them. */
    static final long PAUSE_MS = 12;

    /** How often a host checks whether it may lead, short against the time after which it may take over. */
    static final long CHECK_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(LeaderWarmUp.class);

    private final Timers loop;
    private final BooleanSupplier mayLead;
    private final Runnable step;
    private final Supplier<Mono<?>> call;
    private int remaining = ROUNDS;

    /**
     * Creates the warm-up of a host.
     *
     * @param loop the host's timers
     * @param mayLead returns whether the host is likely to lead
     * @param step runs one step of a rehearsal
     * @param call makes one call
     */
    LeaderWarmUp(Timers loop, BooleanSupplier mayLead, Runnable step, Supplier<Mono<?>> call) {
        this.loop = loop;
        this.mayLead = mayLead;
        this.step = step;
        this.call = call;
    }

    /** Runs the next round if the host may lead, and schedules the one after it; a call that fails ends the warm-up. */
    void run() {
        if (remaining == 0) {
            LOG.info("warm-up complete rounds={}", ROUNDS);
            return;
        }
        if (!mayLead.getAsBoolean()) {
            loop.after(CHECK_MS, this::run);
            return;
        }
        remaining--;
        step.run();
        call.get()
                .subscribe(
                        answer -> loop.after(PAUSE_MS, this::run),
                        error -> LOG.warn("warm-up ended remaining={} reason={}", remaining, error.getMessage()));
    }
}
