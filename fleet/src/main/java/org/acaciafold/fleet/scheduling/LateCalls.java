package org.acaciafold.fleet.scheduling;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import org.acaciafold.fleet.TaskName;

/**
 * The calls to a worker that may still be executed, by whichever incarnation is there then.
 *
 * <p>A call names a worker by its identifier, which the next incarnation keeps. It executes calls that were meant for the
 * former one: leases on another clock, acknowledgements of other ends, orders that were barred. A call whose connection
 * has ended is not executed by a later incarnation; one without an answer may be.
 */
final class LateCalls {
    /** When a call was last sent that grants a lease; negative when none was. */
    private long leaseSentAtMs = -1;
    /** When the last of those was sent that got no answer. */
    private long lateLeaseSentAtMs = -1;

    private long lateAcknowledgementSentAtMs = -1;
    private boolean renewalInFlight;
    private boolean renewalGrantsLease;
    private long renewalSentAtMs;
    private long renewalAcknowledges;
    /** Orders to start without an answer, oldest first. */
    private final Queue<Start> starts = new ArrayDeque<>();

    /** Records a renewal that grants a lease or not, and acknowledges the ends up to a number, 0 for none. */
    void renewalSent(boolean grantsLease, long acknowledges, long nowMs) {
        renewalInFlight = true;
        renewalGrantsLease = grantsLease;
        renewalAcknowledges = acknowledges;
        renewalSentAtMs = nowMs;
        leaseSentAtMs = grantsLease ? nowMs : leaseSentAtMs;
    }

    /** Records the answer to the renewal in flight; returns the number of the last end that it acknowledged. */
    long renewalAnswered() {
        renewalInFlight = false;
        return renewalAcknowledges;
    }

    /** Records that the renewal in flight got no answer, and whether it may still be executed. */
    void renewalFailed(boolean mayArrive) {
        if (mayArrive) {
            lateLeaseSentAtMs = lateLeaseSentAtMs();
            lateAcknowledgementSentAtMs = lateAcknowledgementSentAtMs();
        }
        renewalInFlight = false;
    }

    /** Records that an order to start is sent, which grants a lease. */
    void startSent(long nowMs) {
        leaseSentAtMs = nowMs;
    }

    /** Records that an order to start got no answer. */
    void startUnanswered(RunRow run, long nowMs) {
        dropExecuted(nowMs);
        lateLeaseSentAtMs = Math.max(lateLeaseSentAtMs, run.orderedAtMs);
        starts.add(new Start(run.task.name, run.number, run.orderedAtMs));
    }

    /** Returns whether a call may still be executed that was sent to an incarnation that last answered at a time. */
    boolean mayArrive(long lastContactAtMs) {
        return leaseSentAtMs >= 0 && leaseSentAtMs >= lastContactAtMs
                || lateLeaseSentAtMs() >= 0
                || lateAcknowledgementSentAtMs() >= 0
                || !starts.isEmpty();
    }

    /** Forgets the calls without an answer that were sent before a time, as they do nothing any more. */
    void voidBefore(long sentAtMs) {
        lateLeaseSentAtMs = lateLeaseSentAtMs < sentAtMs ? -1 : lateLeaseSentAtMs;
        lateAcknowledgementSentAtMs = lateAcknowledgementSentAtMs < sentAtMs ? -1 : lateAcknowledgementSentAtMs;
        starts.removeIf(start -> start.sentAtMs < sentAtMs);
    }

    /** Returns the orders to start that may still be executed. */
    List<Start> starts(long nowMs) {
        dropExecuted(nowMs);
        return List.copyOf(starts);
    }

    /**
     * Returns when the leases have expired that calls meant for a former incarnation have granted, or may still grant.
     *
     * @param lastContactAtMs when the former incarnation last answered
     * @param nowMs the present time
     * @param limits the bounds of leases
     * @return the time; negative when there are no such leases
     */
    long leasesEndAtMs(long lastContactAtMs, long nowMs, SchedulerLimits limits) {
        long executedMs =
                leaseSentAtMs >= 0 && leaseSentAtMs >= lastContactAtMs ? nowMs + limits.acceptedLeaseMs() : -1;
        long lateMs = lateLeaseSentAtMs();
        return lateMs < 0 ? executedMs : Math.max(executedMs, lateMs + limits.strayLeaseMs());
    }

    private long lateLeaseSentAtMs() {
        boolean inFlight = renewalInFlight && renewalGrantsLease;
        return inFlight ? Math.max(lateLeaseSentAtMs, renewalSentAtMs) : lateLeaseSentAtMs;
    }

    private long lateAcknowledgementSentAtMs() {
        return renewalInFlight && renewalAcknowledges > 0 ? renewalSentAtMs : lateAcknowledgementSentAtMs;
    }

    private void dropExecuted(long nowMs) {
        while (!starts.isEmpty() && nowMs - starts.peek().sentAtMs > SchedulerLimits.LATEST_EXECUTION_MS) {
            starts.poll();
        }
    }

    /**
     * An order to start that got no answer.
     *
     * @param task the task
     * @param run the number of the run
     * @param sentAtMs when it was sent
     */
    record Start(TaskName task, int run, long sentAtMs) {}
}
