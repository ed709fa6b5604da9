package org.acaciafold.fleet.scheduling;

import java.util.Collection;

/**
 * The runs that hold capacity or a limit, and how well they are confirmed.
 *
 * @param runs the number of the runs
 * @param unconfirmed how many of them no worker has listed yet
 * @param unconfirmedOldest how long ago the first of these was ordered or taken over
 * @param reportOldest how long ago the worker of some run answered that has not answered for longest
 */
record HeldRuns(int runs, int unconfirmed, Age unconfirmedOldest, Age reportOldest) {
    private static final HeldRuns NONE = new HeldRuns(0, 0, Age.unknown(), Age.unknown());

    static HeldRuns none() {
        return NONE;
    }

    static HeldRuns of(Collection<RunRow> runs, long nowMs) {
        HeldRuns held = NONE;
        for (RunRow run : runs) {
            held = held.plus(run, nowMs);
        }
        return held;
    }

    HeldRuns plus(HeldRuns that) {
        return new HeldRuns(
                runs + that.runs,
                unconfirmed + that.unconfirmed,
                unconfirmedOldest.older(that.unconfirmedOldest),
                reportOldest.older(that.reportOldest));
    }

    private HeldRuns plus(RunRow run, long nowMs) {
        Age report = Age.since(run.worker.lastContactAtMs, nowMs);
        boolean confirmed = run.phase == RunPhase.RUNNING;
        Age order = confirmed ? Age.unknown() : Age.since(run.sinceMs(), nowMs);
        return plus(new HeldRuns(1, confirmed ? 0 : 1, order, report));
    }
}
