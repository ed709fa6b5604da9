package org.acaciafold.fleet.scheduling;

import java.util.List;

import org.acaciafold.fleet.Effect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Voids the calls that were meant for former incarnations of workers.
 *
 * <p>A token is recorded with the lease before calls carry it, so that the next leader's are higher.
 */
final class FenceSystem {
    private static final Logger LOG = LoggerFactory.getLogger(FenceSystem.class);

    private final Tables tables;
    /** The highest token whose record is requested in this term. */
    private long requestedToken;

    FenceSystem(Tables tables) {
        this.tables = tables;
    }

    /** Requests the record of the tokens that workers need, and lets calls carry those that are recorded. */
    void run(List<Effect> effects) {
        long needed = 0;
        for (WorkerRow worker : tables.workers.values()) {
            if (worker.fence.carry(tables.recordedToken, tables.nowMs)) {
                LOG.info("fencing token raised worker={} token={}", worker.id, tables.recordedToken);
                worker.askAtOnce(tables.nowMs);
            }
            needed = Math.max(needed, worker.fence.tokenToRecord());
        }
        if (needed > requestedToken) {
            requestedToken = needed;
            effects.add(new Effect.RaiseToken(needed));
        }
    }
}
