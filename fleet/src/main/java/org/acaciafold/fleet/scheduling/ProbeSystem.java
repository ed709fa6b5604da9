package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.Effect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Probes workers that leave a call unanswered, and workers whose report is needed before their next renewal.
 *
 * <p>A worker with an overdue call is suspect: it gets no further orders until it answers.
 */
final class ProbeSystem {
    /** Workers answer orders in milliseconds; one that does not answer for this long may be unreachable. */
    static final long SUSPECT_AFTER_MS = 300;

    /** Bounds the work of one tick after a pause of this host, when all calls look overdue. */
    private static final int MAX_PROBES_PER_TICK = 32;

    private static final Logger LOG = LoggerFactory.getLogger(ProbeSystem.class);

    private final Tables tables;

    ProbeSystem(Tables tables) {
        this.tables = tables;
    }

    void run(List<Effect> effects) {
        int sent = 0;
        for (WorkerRow worker : tables.workers.values()) {
            boolean silent = worker.missedRenewals > 0;
            if (!silent && newlyOverdue(worker)) {
                worker.suspect = true;
            }
            boolean wanted = !silent && worker.suspect || tables.nowMs >= worker.probeAtMs;
            if (wanted && !worker.probeInFlight && sent < MAX_PROBES_PER_TICK) {
                sent++;
                worker.probeInFlight = true;
                worker.probeAtMs = Long.MAX_VALUE;
                effects.add(new Effect.Probe(worker.id, worker.address()));
            }
        }
    }

    void failed(WorkerRow worker) {
        worker.probeInFlight = false;
        if (worker.suspect && worker.missedRenewals == 0) {
            worker.missedRenewals = 1;
            worker.wentDown(tables.nowMs);
            LOG.warn("worker lost worker={} runs={} after=an overdue call", worker.id, worker.runs.size());
        }
        // an unanswered probe makes the worker suspect; the next one decides
        worker.suspect = true;
    }

    /** Returns whether a call has become overdue since the last tick; each call counts once. */
    private boolean newlyOverdue(WorkerRow worker) {
        boolean found = false;
        boolean renewalOverdue = worker.renewalInFlight && tables.nowMs - worker.renewalDueAtMs > SUSPECT_AFTER_MS;
        if (renewalOverdue && !worker.renewalSuspected) {
            worker.renewalSuspected = true;
            found = true;
        }
        for (RunRow run : worker.runs.values()) {
            boolean overdue = run.phase == RunPhase.STARTING && tables.nowMs - run.orderedAtMs > SUSPECT_AFTER_MS;
            if (overdue && !run.suspected) {
                run.suspected = true;
                found = true;
            }
        }
        return found;
    }
}
