package org.acaciafold.fleet.leadership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Determines from the calls to a dependency whether it is unresponsive.
 *
 * <p>A failed call counts as unanswered until a later answer arrives, so the dependency does not appear responsive
 * between the failure of one call and the next call:
 *
 * <pre>{@code
 * long call = monitor.started(nowMs);
 * monitor.failed(call);
 * boolean unresponsive = monitor.unresponsive(laterMs, limitMs);
 * }</pre>
 */
public final class CallMonitor {
    private static final long NONE = Long.MAX_VALUE;

    /** Start times of the calls without an outcome yet, the oldest first. */
    private final Map<Long, Long> open = new LinkedHashMap<>();

    private long lastCall;
    /** When the first call was started that failed since the last answer. */
    private long failedCallStartedAtMs = NONE;

    private long answeredAtMs = Long.MIN_VALUE / 2;

    private CallMonitor() {}

    /**
     * Creates a monitor without calls.
     *
     * @return the monitor
     */
    public static CallMonitor create() {
        return new CallMonitor();
    }

    /**
     * Records an answer of the dependency to any call, also to one that is not monitored.
     *
     * @param nowMs when it arrived, on the monotonic clock
     */
    public void answered(long nowMs) {
        answeredAtMs = nowMs;
        failedCallStartedAtMs = NONE;
    }

    /**
     * Returns when the last answer arrived.
     *
     * @return the time on the monotonic clock, far in the past when none has arrived
     */
    public long answeredAtMs() {
        return answeredAtMs;
    }

    /**
     * Records that a call has ended, with an answer or because its caller gave it up.
     *
     * @param call the call
     */
    public void ended(long call) {
        open.remove(call);
    }

    /**
     * Records that a call has failed.
     *
     * @param call the call
     */
    public void failed(long call) {
        Long startedAtMs = open.remove(call);
        if (startedAtMs != null) {
            failedCallStartedAtMs = Math.min(failedCallStartedAtMs, startedAtMs);
        }
    }

    /**
     * Records the start of a call.
     *
     * @param nowMs when it was sent, on the monotonic clock
     * @return the number of the call
     */
    public long started(long nowMs) {
        lastCall++;
        open.put(lastCall, nowMs);
        return lastCall;
    }

    /**
     * Returns whether calls have had no answer for longer than a limit.
     *
     * @param nowMs the monotonic clock
     * @param limitMs the limit in milliseconds
     * @return true when the dependency is unresponsive
     */
    public boolean unresponsive(long nowMs, long limitMs) {
        long oldestOpenMs = open.isEmpty() ? NONE : open.values().iterator().next();
        long oldestMs = Math.min(oldestOpenMs, failedCallStartedAtMs);
        return oldestMs != NONE && nowMs - Math.max(oldestMs, answeredAtMs) > limitMs;
    }
}
