package org.acaciafold.entry;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Covers a host that has just started and takes over leadership in a rolling restart or after the loss of all hosts. */
class HttpWarmUpTest {
    private final ManualTimers timers = new ManualTimers();
    private int calls;

    private void advance(int pauses) {
        for (int i = 0; i < pauses; i++) {
            timers.advance(HttpWarmUp.PAUSE_MS);
        }
    }

    @Test
    void shouldMakeOneCallAtATimeUntilTheCodeIsCompiled() {
        new HttpWarmUp(timers, this::answered).run();
        assertEquals(1, calls);

        advance(1);
        assertEquals(2, calls);
        advance(2 * HttpWarmUp.CALLS);
        assertEquals(HttpWarmUp.CALLS, calls);
    }

    @Test
    void shouldEndWhenACallFails() {
        new HttpWarmUp(timers, this::failed).run();

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
