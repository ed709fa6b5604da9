package org.acaciafold.entry;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers a host that has just started and takes over leadership in a rolling restart or after the loss of all hosts. */
class LeaderWarmUpTest {
    private final ManualTimers timers = new ManualTimers();
    private boolean mayLead = true;
    private int calls;
    private int steps;

    private void advance(int pauses) {
        for (int i = 0; i < pauses; i++) {
            timers.advance(LeaderWarmUp.PAUSE_MS);
        }
    }

    @Test
    void shouldRunOneRoundAtATimeUntilTheCodeIsCompiled() {
        new LeaderWarmUp(timers, () -> mayLead, () -> steps++, this::answered).run();
        assertEquals(1, calls);

        advance(1);
        assertEquals(2, calls);
        advance(2 * LeaderWarmUp.ROUNDS);
        assertEquals(LeaderWarmUp.ROUNDS, calls);
        assertEquals(LeaderWarmUp.ROUNDS, steps);
    }

    /** Guards against the processor time of the calls on the many small hosts of a large deployment. */
    @Test
    void shouldMakeNoCallsUntilTheHostMayLead() {
        mayLead = false;
        new LeaderWarmUp(timers, () -> mayLead, () -> steps++, this::answered).run();
        timers.advance(LeaderWarmUp.CHECK_MS);
        assertEquals(0, calls);
        assertEquals(0, steps);

        mayLead = true;
        timers.advance(LeaderWarmUp.CHECK_MS);

        assertEquals(1, calls);
    }

    @Test
    void shouldEndWhenACallFails() {
        new LeaderWarmUp(timers, () -> mayLead, () -> steps++, this::failed).run();

        advance(2);

        assertEquals(1, calls);
    }

    private Mono<?> answered() {
        calls++;
        return Mono.just(calls);
    }

    private Mono<?> failed() {
        calls++;
        return Mono.error(new IllegalStateException("no listener"));
    }
}
