package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndKind;
import org.acaciafold.fleet.ReportedRun;
import org.acaciafold.fleet.RunEnd;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;

/** One incarnation of a worker that follows the contract. */
final class SimulatedWorker {
    /** Workers shorten longer leases to this length. */
    private static final long MAX_LEASE_MS = 10_000;

    final Map<TaskName, Run> runs = new HashMap<>();
    WorkerEntry entry;
    /** False while no call reaches the worker. */
    boolean reachable = true;
    /** True while the worker refuses all starts as unhealthy, and answers everything else. */
    boolean refusesStarts;
    /** When the lease last ran out under a run; negative when it never did. */
    long lapsedAtMs = -1;
    /** The rate of the worker's clock; the contract allows 0.98 to 1. */
    double clockRate = 1;

    private final long startedAtMs;
    private final Map<TaskName, Integer> highestEndedRun = new HashMap<>();
    private final List<RunEnd> ends = new ArrayList<>();
    private long lastEnd;
    private long leaseUntilMs;
    private long highestToken;
    private long nowMs;

    SimulatedWorker(WorkerEntry entry, long startedAtMs) {
        this.entry = entry;
        this.startedAtMs = startedAtMs;
        this.nowMs = startedAtMs;
    }

    /** Returns the ticket that advice issues for this incarnation. */
    String ticket() {
        return entry.id() + "-" + entry.incarnation();
    }

    boolean hasEnds() {
        return !ends.isEmpty();
    }

    void advance(long atMs) {
        nowMs = atMs;
        for (TaskName task : List.copyOf(runs.keySet())) {
            Run run = runs.get(task);
            if (clockMs() >= leaseUntilMs) {
                end(task, EndKind.LAPSED);
                lapsedAtMs = nowMs;
            } else if (nowMs >= run.endsAtMs) {
                end(task, run.kind);
            }
        }
    }

    /** Returns whether the worker carries out a call with a fencing token, which it remembers. */
    boolean accepts(long token) {
        highestToken = Math.max(highestToken, token);
        return token == highestToken;
    }

    StartOutcome start(Effect.Start order, ToLongFunction<TaskName> durationMs, EndKind kind) {
        if (refusesStarts) {
            return StartOutcome.REFUSED;
        }
        extendLease(order.untilMs());
        if (order.run() <= highestEndedRun.getOrDefault(order.task(), 0) || runs.containsKey(order.task())) {
            return StartOutcome.OLD_RUN;
        }
        runs.put(order.task(), new Run(order.run(), nowMs + durationMs.applyAsLong(order.task()), kind));
        return StartOutcome.STARTED;
    }

    void stop(Effect.Stop order) {
        Run run = runs.get(order.task());
        highestEndedRun.merge(order.task(), order.run(), Math::max);
        if (run != null && run.number <= order.run()) {
            end(order.task(), EndKind.STOPPED);
        }
    }

    void renew(Effect.RenewLease order) {
        order.untilMs().ifPresent(this::extendLease);
        ends.removeIf(end -> end.number() <= order.acknowledged());
    }

    WorkerReport report(long atMs) {
        nowMs = atMs;
        List<ReportedRun> running = new ArrayList<>();
        runs.forEach((task, run) -> running.add(new ReportedRun(task, run.number, "", 100)));
        return new WorkerReport(clockMs(), entry.incarnation(), running, ends);
    }

    private void end(TaskName task, EndKind kind) {
        Run run = runs.remove(task);
        highestEndedRun.merge(task, run.number, Math::max);
        ends.add(new RunEnd(++lastEnd, task, run.number, kind, ""));
    }

    private void extendLease(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + MAX_LEASE_MS));
    }

    long clockMs() {
        return Math.round((nowMs - startedAtMs) * clockRate) + 1_000;
    }

    /**
     * A run on this worker.
     *
     * @param number its number
     * @param endsAtMs when it ends by itself
     * @param kind how it ends then
     */
    record Run(int number, long endsAtMs, EndKind kind) {}
}
