package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerEntry;

/** A worker: its registry entry, its lease, and the runs that occupy its capacity. */
final class WorkerRow {
    /** Number of different jobs with failed runs in a row after which a worker gets no new work for a while. */
    private static final int MAX_FAILED_JOBS = 2;

    /** How long a failing worker gets no new work; the contract allows no task to wait longer than 3 s for it. */
    private static final long PAUSE_MS = 2_000;

    /** Workers answer within milliseconds of the time until when a renewal lets them wait. */
    private static final long MAX_ANSWER_MS = 100;

    final String id;
    final Map<TaskName, RunRow> runs = new HashMap<>();
    final Set<String> failedJobs = new HashSet<>();
    long incarnation;
    Resources used = Resources.empty();
    boolean registered;
    boolean renewalInFlight;
    /** True once the store may contain a claim record of the worker. */
    boolean recorded;

    long nextRenewalAtMs;
    long renewalSentAtMs;
    /** When the response to the renewal in flight is due at the latest. */
    long renewalDueAtMs;

    /** True once the renewal in flight has made the worker suspect because it was overdue. */
    boolean renewalSuspected;

    /** Ends up to this number are recorded, so that the worker may discard them. */
    long lastAcknowledgedEnd;
    /** The worker has answered a renewal that acknowledged the ends up to this number. */
    long lastDiscardedEnd;

    long lastProcessedEnd;
    final EndsToRecord endsToRecord = new EndsToRecord();
    long lastContactAtMs = -1;
    long clockMs;
    /** True from an answer with a clock that has started anew until the next report. */
    boolean clockReset;

    /** The latest end of the leases that this leader granted, on the clock of the worker. */
    long leaseEndsAtMs;

    /** Calls that were sent before this time went to an earlier address. */
    long addressSinceMs = Long.MIN_VALUE;

    /** True once another worker has answered at the address: nothing of this incarnation is left. */
    boolean incarnationEnded;

    int missedRenewals;
    /** True from an unanswered call, once it is overdue, until the worker answers a renewal or a probe. */
    boolean suspect;

    boolean probeInFlight;
    /** When a report is needed, whether or not a renewal is in flight. */
    long probeAtMs = Long.MAX_VALUE;

    long predecessorLeaseEndsAtMs = -1;
    /** True if the worker was silent when the last term ended. */
    boolean silentBefore;

    /** True while the record of the worker may say that it is silent; it gets no lease meanwhile. */
    boolean silenceRecorded;

    /** Since when the record may say that the worker gets short leases only, on the store's clock; 0 while it does not. */
    long shortLeasesSinceMs;

    long pausedUntilMs = -1;
    long refusedUntilMs = -1;
    /** Until when the record is not written again after the store has refused it. */
    long recordRefusedUntilMs = -1;

    /** When the worker was last found silent or restarted; negative when it never was. */
    long downAtMs = -1;

    /** True if the worker owed an answer when it was found down, so that its runs may have ended unheard before. */
    boolean silentBeforeDown;

    /** The jobs that had runs on the worker at that time. */
    final Set<JobRow> jobsWhenDown = new HashSet<>();

    /** Until when a task runs here that may crash the worker; other tasks avoid it if they can. */
    long trialUntilMs = -1;

    /** The last incarnation that has said that it leaves. */
    private long leavingIncarnation = -1;

    /** True from a pause until a task ends as done: tasks start here only where no other worker has capacity. */
    boolean onTrial;

    private long pausedAtMs = -1;
    /** The number of runs here of tasks that last. */
    private int lastingRuns;

    private String address;
    /** Where the incarnation has answered, to this leader or to the one that recorded its claims. */
    private String answeredAddress;

    private WorkerEntry entry;

    final RegistryPresence presence = new RegistryPresence();
    final LateCalls lateCalls = new LateCalls();
    final StrayLeases strayLeases = new StrayLeases();
    final WorkerFence fence = new WorkerFence();

    WorkerRow(String id, String address, long incarnation) {
        this.id = id;
        this.address = address;
        this.answeredAddress = address;
        this.incarnation = incarnation;
    }

    String address() {
        return address;
    }

    /** Returns where the incarnation has answered, to this leader or to the one that recorded its claims. */
    String answeredAddress() {
        return answeredAddress;
    }

    /** Returns whether the worker gets no leases since it does not answer. */
    boolean silent() {
        return missedRenewals > 0 || silentBefore && lastContactAtMs < 0;
    }

    /** Returns whether the worker has answered its last renewal. */
    boolean answers() {
        return lastContactAtMs >= 0 && missedRenewals == 0;
    }

    /** Records that the worker has answered a call to its address. */
    void answered(long nowMs) {
        answeredAddress = address;
        lastContactAtMs = nowMs;
        missedRenewals = 0;
        suspect = false;
        clockReset = false;
        incarnationEnded = false;
    }

    /** Applies an answer to a call, after which calls with lower tokens do nothing any more. */
    void fenceAnswered(long requestedAtMs, long nowMs, SchedulerLimits limits) {
        long voidBeforeMs = fence.answered(requestedAtMs);
        if (voidBeforeMs >= 0) {
            lateCalls.voidBefore(voidBeforeMs);
            // only those count that were executed before
            strayLeases.endAtTheLatest(nowMs + limits.acceptedLeaseMs());
        }
    }

    /** Asks for a report as soon as possible, beside a renewal that may wait for its answer. */
    void askAtOnce(long nowMs) {
        if (missedRenewals == 0 || renewalInFlight) {
            probeAtMs = Math.min(probeAtMs, nowMs);
        } else {
            nextRenewalAtMs = Math.min(nextRenewalAtMs, nowMs);
        }
    }

    /** Returns when the leases have expired that calls meant for earlier incarnations may have granted to this one. */
    long strayLeasesEndAtMs() {
        return strayLeases.endAtMs(this);
    }

    void add(RunRow run) {
        runs.put(run.task.name, run);
        lastingRuns += run.task.step.spec.longRunning() ? 1 : 0;
        used = used.plus(run.resources);
    }

    boolean hasLastingRuns() {
        return lastingRuns > 0;
    }

    /** Returns whether the worker may get short leases only. */
    boolean hasShortLeases() {
        return hasLastingRuns() || shortLeasesSinceMs > 0;
    }

    Optional<WorkerEntry> entry() {
        return Optional.ofNullable(entry);
    }

    void register(WorkerEntry newEntry, long nowMs) {
        entry = newEntry;
        if (newEntry.draining()) {
            leavingIncarnation = newEntry.incarnation();
        } else if (leavingIncarnation == newEntry.incarnation()) {
            leavingIncarnation = -1;
        }
        registered = true;
        // an incarnation that answers keeps its address, whatever another writer has put into its entry
        boolean answersThere = answers() && newEntry.incarnation() <= incarnation;
        if (!answersThere && !newEntry.address().equals(address)) {
            moveTo(newEntry.address(), nowMs);
        }
    }

    /** Returns whether the predecessor may have commanded a later incarnation than the one that it has recorded. */
    boolean mayHaveRestartedSinceRecord(WorkerEntry present) {
        return predecessorLeaseEndsAtMs >= 0
                && lastContactAtMs < 0
                && !silentBefore
                && present.incarnation() > incarnation;
    }

    void deregister() {
        registered = false;
    }

    /** Returns whether the worker has said that it leaves, so that its end is no crash. */
    boolean leftAsAnnounced() {
        return leavingIncarnation == incarnation;
    }

    /** Records that the worker was found silent or restarted. */
    void wentDown(long nowMs) {
        downAtMs = nowMs;
        silentBeforeDown = renewalSentAtMs > 0 && nowMs - renewalDueAtMs > MAX_ANSWER_MS;
        jobsWhenDown.clear();
        runs.values().forEach(run -> jobsWhenDown.add(run.task.step.job));
    }

    /** Returns whether a task of another job runs here that may be about to crash the worker. */
    boolean triesSuspectOfOtherJob(JobRow job, long nowMs) {
        for (RunRow run : runs.values()) {
            boolean early = run.phase == RunPhase.CLAIMED || nowMs - run.sinceMs() <= CrashHistory.EARLY_MS;
            if (early && run.task.step.job != job && run.task.suspect()) {
                return true;
            }
        }
        return false;
    }

    Resources free() {
        return entry == null ? Resources.empty() : entry.capacity().minus(used);
    }

    /** Returns whether all runs, claimed ones included, fit in the capacity that the registry shows now. */
    boolean withinCapacity() {
        return entry != null && used.fitsIn(entry.capacity());
    }

    /** Returns whether the registry entry is that of the incarnation that answers; another may have another size. */
    boolean entryIsCurrent() {
        return entry != null && (entry.incarnation() == 0 || incarnation == 0 || entry.incarnation() == incarnation);
    }

    /** Records that a call is sent that grants a lease until a time on the worker's clock. */
    void leaseSent(long untilMs) {
        leaseEndsAtMs = Math.max(leaseEndsAtMs, untilMs);
    }

    /** Records that the clock in an answer has started anew, so that calls may have granted leases to a next incarnation. */
    void clockStartedAnew(long nowMs, SchedulerLimits limits) {
        clockReset = true;
        suspect = true;
        strayLeases.ofUnknownIncarnationUntil(lateCalls.leasesEndAtMs(lastContactAtMs, nowMs, limits));
    }

    /** Returns whether the clock in an answer is behind what this incarnation's must have shown when the call was sent. */
    boolean startedAnew(long shownMs, long requestedAtMs) {
        double elapsedMs = (requestedAtMs - lastContactAtMs) * SchedulerLimits.SLOWEST_CLOCK;
        return lastContactAtMs >= 0
                && requestedAtMs >= lastContactAtMs
                && shownMs < clockMs + elapsedMs - SchedulerLimits.CLOCK_MARGIN_MS;
    }

    /**
     * Returns the number of the last end that the next renewal acknowledges; 0 for none.
     *
     * <p>A new incarnation numbers its ends from the start and would discard ends that were not processed, so nothing is
     * acknowledged to a worker that may have restarted, and nothing twice.
     */
    long acknowledge() {
        boolean acknowledges = missedRenewals == 0 && !clockReset && lastAcknowledgedEnd > lastDiscardedEnd;
        return acknowledges ? lastAcknowledgedEnd : 0;
    }

    /** Counts leases that the predecessor may have granted to a later incarnation than the recorded one. */
    void extendPredecessorLease(long leasesEndAtMs) {
        predecessorLeaseEndsAtMs = Math.max(predecessorLeaseEndsAtMs, leasesEndAtMs);
    }

    /** Returns the end of a lease that starts now, on the worker's clock; empty when that clock is unknown. */
    OptionalLong lease(long nowMs, SchedulerLimits limits) {
        if (lastContactAtMs < 0 || clockReset) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(clockMs + (nowMs - lastContactAtMs) + limits.leaseMs(hasShortLeases()));
    }

    /**
     * Returns whether another worker's answer to a call proves that the present incarnation has ended. It does not if
     * the incarnation has answered since, or was never reached at that address.
     */
    boolean provesEnd(long requestedAtMs) {
        return requestedAtMs >= addressSinceMs && requestedAtMs > lastContactAtMs && address.equals(answeredAddress);
    }

    /** Returns whether all leases ever granted to the worker have provably expired. */
    boolean leaseExpired(long nowMs) {
        boolean everGranted = lastContactAtMs >= 0 || predecessorLeaseEndsAtMs >= 0;
        return incarnationEnded || everGranted && nowMs >= leasesExpiredAtMs(nowMs);
    }

    /** Returns when all leases ever granted to the worker have provably expired, on the clock of this host. */
    long leasesExpiredAtMs(long nowMs) {
        if (incarnationEnded) {
            return nowMs;
        }
        if (lastContactAtMs < 0) {
            return predecessorLeaseEndsAtMs;
        }
        long grantedMs = Math.max(showsAtMs(leaseEndsAtMs), predecessorLeaseEndsAtMs);
        return Math.max(grantedMs, strayLeasesEndAtMs());
    }

    /** Returns by when the clock of the incarnation that has answered last shows a time, on the clock of this host. */
    long showsAtMs(long atMs) {
        double longestMs = (atMs + SchedulerLimits.CLOCK_MARGIN_MS - clockMs) / SchedulerLimits.SLOWEST_CLOCK;
        return (long) Math.ceil(lastContactAtMs + longestMs);
    }

    void remove(RunRow run) {
        if (runs.remove(run.task.name, run)) {
            used = used.minus(run.resources);
            lastingRuns -= run.task.step.spec.longRunning() ? 1 : 0;
        }
        run.task.end(run);
    }

    /**
     * Resets the state that belongs to an earlier incarnation. The leases granted to it are over, but the calls that
     * granted the last of them may have reached the new one, or may still do so until it has answered a raised token.
     */
    void restarted(long newIncarnation, long epoch, long nowMs, SchedulerLimits limits) {
        incarnation = newIncarnation;
        if (lateCalls.mayArrive(lastContactAtMs)) {
            fence.raise(epoch);
        }
        strayLeases.ofNextIncarnationUntil(lateCalls.leasesEndAtMs(lastContactAtMs, nowMs, limits), leaseEndsAtMs);
        lastAcknowledgedEnd = 0;
        lastDiscardedEnd = 0;
        lastProcessedEnd = 0;
        endsToRecord.clear();
        leaseEndsAtMs = 0;
        lastContactAtMs = -1;
        pausedAtMs = -1;
        pausedUntilMs = -1;
        succeeded();
    }

    void succeeded() {
        failedJobs.clear();
        onTrial = false;
    }

    /** Counts a failed run; one that was ordered before the latest pause belongs to the failures that led to it. */
    void failed(String job, long orderedAtMs, long nowMs) {
        if (orderedAtMs <= pausedAtMs) {
            return;
        }
        failedJobs.add(job);
        if (onTrial || failedJobs.size() >= MAX_FAILED_JOBS) {
            failedJobs.clear();
            onTrial = true;
            pausedAtMs = nowMs;
            pausedUntilMs = nowMs + PAUSE_MS;
        }
    }

    /** Asks the worker for a report at its new address, without extending its lease, before it gets further orders. */
    private void moveTo(String newAddress, long nowMs) {
        address = newAddress;
        addressSinceMs = nowMs;
        incarnationEnded = false;
        if (missedRenewals == 0) {
            wentDown(nowMs);
        }
        missedRenewals = Math.max(1, missedRenewals);
        nextRenewalAtMs = nowMs;
    }
}
