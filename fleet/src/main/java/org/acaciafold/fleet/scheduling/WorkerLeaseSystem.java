package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Renews the leases of workers, and reconciles the reported runs with the known ones. */
final class WorkerLeaseSystem {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerLeaseSystem.class);

    /** The shortest renewal wait of a worker with runs, which bounds the calls for runs that exceed their estimates. */
    private static final long MIN_BUSY_WORKER_WAIT_MS = 300;

    /** Added to the wait until the first expected end, so that an end on time is reported by the renewal in flight. */
    private static final long END_SLACK_MS = 200;

    /** The longest renewal wait of a worker without runs, the maximum that the contract with workers allows. */
    private static final long IDLE_WORKER_WAIT_MS = 2_000;

    /** Pause between renewals while ends wait to be recorded, or that a silent worker answers, which renewals cannot hasten. */
    private static final long UNRECORDED_PAUSE_MS = 500;

    /** How long a worker with an orphan gets no tasks: the orphan, whose size is unknown, must be stopped first. */
    private static final long ORPHAN_PAUSE_MS = 2_000;

    /**
     * Renewals sent in one tick; a host that has just started sends that many in about 50 ms, so that the first workers
     * get tasks while the others are still being polled.
     */
    private static final int MAX_RENEWALS_PER_TICK = 32;

    private static final long RETRY_BACKOFF_MS = 200;

    /** Runs on a silent worker lose what is left of their lease until it is asked again. */
    private static final long MAX_RETRY_BACKOFF_MS = 400;

    private final Tables tables;
    private final EndSystem ends;
    private final CrashSystem crashes;
    private final LeaseExpiry expiry;

    WorkerLeaseSystem(Tables tables, EndSystem ends) {
        this.tables = tables;
        this.ends = ends;
        this.crashes = new CrashSystem(tables, ends);
        this.expiry = new LeaseExpiry(tables, ends, crashes);
    }

    void renewed(WorkerRow worker, WorkerReport report, long requestedAtMs) {
        if (requestedAtMs < worker.addressSinceMs) {
            endRenewalOfEarlierAddress(worker);
            return;
        }
        if (worker.missedRenewals > 0) {
            LOG.info("worker responds again worker={} missed={}", worker.id, worker.missedRenewals);
        }
        worker.renewalInFlight = false;
        long acknowledged = worker.lateCalls.renewalAnswered();
        long incarnation = worker.incarnation;
        boolean unrecorded = applyReport(worker, report, requestedAtMs);
        if (worker.incarnation == incarnation) {
            worker.lastDiscardedEnd = Math.max(worker.lastDiscardedEnd, acknowledged);
        }
        if (report.complete() && tables.unreconciled.remove(worker)) {
            LOG.info(
                    "worker reconciled worker={} runs={} unsettled={}",
                    worker.id,
                    worker.runs.size(),
                    tables.unreconciled.size());
        }
        // the confirmation of the record ends the pause
        boolean waitsForRecord = unrecorded || worker.silenceRecorded;
        worker.nextRenewalAtMs = waitsForRecord ? tables.nowMs + UNRECORDED_PAUSE_MS : tables.nowMs;
    }

    /** Ends the runs of an incarnation that has ended, as another worker's answer at its address proves. */
    void incarnationEnded(WorkerRow worker, long requestedAtMs) {
        if (worker.incarnationEnded || !worker.provesEnd(requestedAtMs)) {
            return;
        }
        LOG.warn(
                "worker replaced worker={} address={} runs={} contactAgeMs={}",
                worker.id,
                worker.address(),
                worker.runs.size(),
                tables.nowMs - worker.lastContactAtMs);
        if (worker.missedRenewals == 0) {
            worker.missedRenewals = 1;
            worker.wentDown(tables.nowMs);
        }
        worker.incarnationEnded = true;
        crashes.incarnationEnded(worker);
        expiry.endRuns(worker, "another worker answers at its address");
    }

    /** Notices by its clock that a worker has restarted, and asks it for a report before it gets anything else. */
    void clockReported(WorkerRow worker, long clockMs, long requestedAtMs) {
        if (worker.clockReset || !worker.startedAnew(clockMs, requestedAtMs)) {
            return;
        }
        LOG.warn(
                "worker clock started anew worker={} runs={} clockMs={} before={}",
                worker.id,
                worker.runs.size(),
                clockMs,
                worker.clockMs);
        worker.clockStartedAnew(tables.nowMs, tables.limits);
        worker.askAtOnce(tables.nowMs);
    }

    void probed(WorkerRow worker, WorkerReport report, long requestedAtMs) {
        worker.probeInFlight = false;
        if (requestedAtMs < worker.addressSinceMs) {
            return;
        }
        applyReport(worker, report, requestedAtMs);
    }

    void renewalFailed(WorkerRow worker, boolean mayArrive) {
        worker.lateCalls.renewalFailed(mayArrive);
        if (worker.renewalSentAtMs < worker.addressSinceMs) {
            endRenewalOfEarlierAddress(worker);
            return;
        }
        worker.renewalInFlight = false;
        if (worker.missedRenewals == 0 && worker.lastContactAtMs > worker.renewalSentAtMs) {
            LOG.info(
                    "renewal without a response worker={} contactAgeMs={}",
                    worker.id,
                    tables.nowMs - worker.lastContactAtMs);
            worker.nextRenewalAtMs = tables.nowMs;
            return;
        }
        worker.missedRenewals++;
        if (worker.missedRenewals == 1) {
            worker.wentDown(tables.nowMs);
        }
        worker.nextRenewalAtMs =
                tables.nowMs + Math.min(MAX_RETRY_BACKOFF_MS, RETRY_BACKOFF_MS * worker.missedRenewals);
        if (worker.missedRenewals == 1) {
            LOG.warn("worker lost worker={} runs={}", worker.id, worker.runs.size());
        }
    }

    void run(List<Effect> effects) {
        List<WorkerRow> due = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            if (!worker.renewalInFlight && tables.nowMs >= worker.nextRenewalAtMs && needsRenewal(worker)) {
                due.add(worker);
            }
        }
        // workers that refuse connections are due again soon and must not keep others waiting
        due.sort(Comparator.comparingLong(worker -> worker.nextRenewalAtMs));
        due.stream().limit(MAX_RENEWALS_PER_TICK).forEach(worker -> effects.add(renewLease(worker)));
    }

    /** Ends the runs of unresponsive workers whose leases have provably expired, and removes deregistered workers. */
    void expireLeases(List<String> removedWorkers) {
        expiry.run(removedWorkers);
    }

    /** Ends a renewal that tells nothing of the incarnation at the present address. */
    private void endRenewalOfEarlierAddress(WorkerRow worker) {
        worker.renewalInFlight = false;
        worker.nextRenewalAtMs = tables.nowMs;
    }

    /** Applies a worker report; returns true when ends have to be recorded before they are acknowledged. */
    private boolean applyReport(WorkerRow worker, WorkerReport report, long requestedAtMs) {
        if (overtaken(worker, report, requestedAtMs)) {
            LOG.info(
                    "report overtaken worker={} incarnation={} present={} byMs={}",
                    worker.id,
                    report.incarnation(),
                    worker.incarnation,
                    worker.clockMs - report.clockMs());
            return !worker.endsToRecord.isEmpty();
        }
        crashes.observe(worker, report);
        observeIncarnation(worker, report.incarnation());
        worker.answered(tables.nowMs);
        worker.clockMs = report.clockMs();
        worker.fenceAnswered(requestedAtMs, tables.nowMs, tables.limits);
        boolean unrecorded = processEnds(worker, report.ends());
        reconcileRuns(worker, report, requestedAtMs);
        return unrecorded;
    }

    /**
     * Returns whether the worker, or an earlier incarnation of it, made the report before another one that is applied
     * already.
     */
    private static boolean overtaken(WorkerRow worker, WorkerReport report, long requestedAtMs) {
        boolean earlier = report.incarnation() == worker.incarnation
                ? report.clockMs() < worker.clockMs
                : report.incarnation() != 0 && report.incarnation() < worker.incarnation;
        return requestedAtMs <= worker.lastContactAtMs && earlier;
    }

    /** Adds a run that a worker reports and that is not in the tables; an obsolete or duplicate one is stopped. */
    private void addReportedRun(WorkerRow worker, ReportedRun reportedRun, TaskRow task) {
        RunRow run = new RunRow(task, reportedRun.run(), worker, task.step.spec.each());
        run.confirm(tables.nowMs);
        run.listedBy = worker.incarnation;
        run.checkpoint = reportedRun.checkpoint();
        boolean duplicate = task.run().isPresent();
        if (duplicate || task.done || !task.step.job.active()) {
            run.stop("obsolete when reported");
        }
        if (duplicate) {
            LOG.error("duplicate run task={} run={} worker={}", task.name, reportedRun.run(), worker.id);
            tables.occupy(run);
        } else {
            tables.begin(run);
        }
        LOG.info(
                "reported run added task={} run={} worker={} stop={}",
                task.name,
                reportedRun.run(),
                worker.id,
                run.stopRequested());
    }

    private void reconcileRuns(WorkerRow worker, WorkerReport report, long requestedAtMs) {
        List<ReportedRun> running = report.running();
        Map<TaskName, ReportedRun> reported = new HashMap<>();
        running.forEach(reportedRun -> reported.put(reportedRun.task(), reportedRun));
        for (RunRow run : List.copyOf(worker.runs.values())) {
            ReportedRun reportedRun = reported.get(run.task.name);
            if (reportedRun != null && reportedRun.run() == run.number) {
                run.confirm(tables.nowMs);
                run.listedBy = report.incarnation();
                run.checkpoint = reportedRun.checkpoint().isEmpty() ? run.checkpoint : reportedRun.checkpoint();
            } else if (run.phase == RunPhase.CLAIMED) {
                LOG.debug("run not ordered yet task={} run={}", run.task.name, run.number);
            } else if (!report.complete()) {
                // its end may be among those that are not listed yet
                LOG.debug("run unknown task={} run={} worker={}", run.task.name, run.number, worker.id);
            } else if (run.provenAbsentIn(requestedAtMs)) {
                ends.removeLostRun(run, "not in the worker report");
            } else if (startUnanswered(run, requestedAtMs)) {
                run.stop("start order without a response");
            }
        }
        for (ReportedRun reportedRun : running) {
            RunRow known = worker.runs.get(reportedRun.task());
            if (known == null) {
                Optional<TaskRow> task = tables.task(reportedRun.task());
                if (task.isPresent()) {
                    addReportedRun(worker, reportedRun, task.get());
                } else {
                    LOG.error("run of an unknown job task={} worker={}", reportedRun.task(), worker.id);
                    tables.orphanStops.add(
                            new Effect.Stop(worker.id, worker.address(), reportedRun.task(), reportedRun.run()));
                    // the size of the orphan is unknown, so the free capacity of its worker is, too
                    worker.refusedUntilMs = tables.nowMs + ORPHAN_PAUSE_MS;
                }
            }
        }
    }

    /** Returns whether a report lacks a run because its start order was lost or has not been executed yet. */
    private static boolean startUnanswered(RunRow run, long requestedAtMs) {
        return switch (run.phase) {
            case UNCONFIRMED -> requestedAtMs > run.orderedAtMs;
            case STARTING -> requestedAtMs > run.orderedAtMs + ProbeSystem.SUSPECT_AFTER_MS;
            case CLAIMED, RUNNING -> false;
        };
    }

    private Effect renewLease(WorkerRow worker) {
        worker.renewalInFlight = true;
        worker.renewalSuspected = false;
        worker.renewalSentAtMs = tables.nowMs;
        // a worker that missed renewals is polled without a new lease, so that its lease can expire
        boolean mayHold = worker.missedRenewals == 0 && !worker.silenceRecorded;
        OptionalLong leaseUntil = mayHold ? worker.lease(tables.nowMs, tables.limits) : OptionalLong.empty();
        leaseUntil.ifPresent(worker::leaseSent);
        boolean withoutLease = leaseUntil.isEmpty();
        boolean unrecorded = !worker.endsToRecord.isEmpty();
        long wait = withoutLease || unrecorded ? 0 : renewalWaitMs(worker);
        worker.renewalDueAtMs = tables.nowMs + wait;
        long acknowledges = worker.acknowledge();
        worker.lateCalls.renewalSent(leaseUntil.isPresent(), acknowledges, tables.nowMs);
        return new Effect.RenewLease(worker.id, worker.address(), leaseUntil, acknowledges, wait);
    }

    /**
     * Returns how long a renewal may wait for an end. If its response is lost, the ends of that time are noticed only
     * after it, so it ends soon after the first expected end.
     */
    private long renewalWaitMs(WorkerRow worker) {
        if (worker.runs.isEmpty()) {
            return IDLE_WORKER_WAIT_MS;
        }
        long firstEndMs =
                worker.hasShortLeases() ? SchedulerLimits.LASTING_WORKER_WAIT_MS : SchedulerLimits.BUSY_WORKER_WAIT_MS;
        for (RunRow run : worker.runs.values()) {
            firstEndMs = Math.min(firstEndMs, run.expectedRemainingMs(tables.nowMs) + END_SLACK_MS);
        }
        return Math.max(MIN_BUSY_WORKER_WAIT_MS, firstEndMs);
    }

    private void observeIncarnation(WorkerRow worker, long incarnation) {
        if (worker.lastContactAtMs < 0) {
            // from now on the worker rejects the predecessor's calls, so only those that have arrived count
            long strayMs = SilenceSystem.predecessorStrayLeaseMs(incarnation, tables);
            worker.strayLeases.ofPredecessorUntil(tables.nowMs + Math.min(strayMs, tables.limits.acceptedLeaseMs()));
        }
        if (incarnation == 0 || incarnation == worker.incarnation) {
            return;
        }
        if (worker.incarnation != 0) {
            for (RunRow run : worker.runs.values()) {
                // an order that is still in transit would be executed by the new incarnation
                if (run.phase == RunPhase.UNCONFIRMED) {
                    run.stop("worker restarted");
                }
            }
            stopLateStarts(worker);
        }
        boolean known = worker.incarnation != 0;
        worker.restarted(incarnation, tables.epoch(), tables.nowMs, tables.limits);
        if (known) {
            LOG.warn(
                    "worker restarted worker={} runs={} incarnation={} strayLeasesEndInMs={} raisesToken={}",
                    worker.id,
                    worker.runs.size(),
                    incarnation,
                    Math.max(0, worker.strayLeasesEndAtMs() - tables.nowMs),
                    worker.fence.open());
        }
    }

    /** Bars the runs whose orders got no answer once more, since the new incarnation knows of no stop of the former one. */
    private void stopLateStarts(WorkerRow worker) {
        for (LateCalls.Start start : worker.lateCalls.starts(tables.nowMs)) {
            tables.orphanStops.add(new Effect.Stop(worker.id, worker.address(), start.task(), start.run()));
        }
    }

    private boolean processEnds(WorkerRow worker, List<RunEnd> reported) {
        boolean needsRecord = false;
        for (RunEnd end : reported) {
            if (end.number() > worker.lastProcessedEnd) {
                worker.lastProcessedEnd = end.number();
                ends.processEnd(worker, end);
                needsRecord |= tables.task(end.task())
                        .map(task -> task.step.job.unsaved)
                        .orElse(false);
            }
        }
        if (needsRecord) {
            worker.endsToRecord.add(tables.lastBatch + 1, worker.lastProcessedEnd);
        } else if (worker.endsToRecord.isEmpty()) {
            worker.lastAcknowledgedEnd = worker.lastProcessedEnd;
        } else {
            worker.endsToRecord.extend(worker.lastProcessedEnd);
        }
        return !worker.endsToRecord.isEmpty();
    }

    private boolean needsRenewal(WorkerRow worker) {
        return worker.registered || !worker.runs.isEmpty() || tables.unreconciled.contains(worker);
    }
}
