package org.acaciafold.fleet.leadership;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Covers a host in a failure domain that is cut off: it has to recognize that it can serve nobody, and must not resume
 * taking requests between the failure of one call to the store and the next call.
 */
class CallMonitorTest {
    private static final long LIMIT_MS = 400;

    private final CallMonitor monitor = CallMonitor.create();

    @Test
    void shouldBeResponsiveWhenThereAreNoCalls() {
        assertFalse(monitor.unresponsive(10_000, LIMIT_MS));
    }

    @Test
    void shouldBeUnresponsiveWhenACallHasHadNoAnswerForLongerThanTheLimit() {
        monitor.started(1_000);

        assertFalse(monitor.unresponsive(1_400, LIMIT_MS));
        assertTrue(monitor.unresponsive(1_401, LIMIT_MS));
    }

    @Test
    void shouldStayUnresponsiveWhenTheCallHasFailedAndAnotherOneHasJustStarted() {
        long first = monitor.started(1_000);
        monitor.failed(first);
        monitor.started(2_000);

        assertTrue(monitor.unresponsive(2_001, LIMIT_MS));
    }

    @Test
    void shouldBeResponsiveAgainWhenAnyCallIsAnswered() {
        monitor.failed(monitor.started(1_000));

        monitor.answered(2_000);

        assertFalse(monitor.unresponsive(3_000, LIMIT_MS));
    }

    @Test
    void shouldBeResponsiveWhenOtherCallsAreAnsweredBesideOneWithoutAnAnswer() {
        monitor.started(1_000);

        monitor.answered(1_900);

        assertFalse(monitor.unresponsive(2_300, LIMIT_MS));
        assertTrue(monitor.unresponsive(2_301, LIMIT_MS));
    }

    @Test
    void shouldBeResponsiveWhenTheOnlyCallWasGivenUpByItsCaller() {
        monitor.ended(monitor.started(1_000));

        assertFalse(monitor.unresponsive(2_000, LIMIT_MS));
    }
}
