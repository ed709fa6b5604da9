package org.acaciafold.entry;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.scheduling.SchedulerRehearsal;
import org.acaciafold.platform.StoredRow;

/**
 * Schedules synthetic jobs in memory, and encodes and decodes their records, so that this code is compiled before a host
 * leads.
 *
 * <p>Nothing is sent or stored, and the decisions are not logged.
 */
final class SchedulingWarmUp {
    /** Keeps the fleet of the rehearsal half full. */
    private static final int STEPS_PER_JOB = 2;

    private SchedulerRehearsal rehearsal;
    private int steps;

    SchedulingWarmUp() {
        HostLogging.quietly(() -> rehearsal = SchedulerRehearsal.create());
    }

    /** Runs one tick of the rehearsal. */
    void step() {
        HostLogging.quietly(() -> {
            if (steps++ % STEPS_PER_JOB == 0) {
                recode(StoreRecords.JOBS, rehearsal.accept(), Job.class);
            }
            for (Effect effect : rehearsal.step()) {
                if (effect instanceof Effect.Save save) {
                    recode(save);
                }
            }
        });
    }

    /** Returns how many of the synthetic jobs have not ended. */
    int openJobs() {
        return rehearsal.openJobs();
    }

    private static void recode(Effect.Save save) {
        for (Progress progress : save.progress().values()) {
            StoreRecords.decodeProgress(row(StoreRecords.PROGRESS, StoreRecords.encode(progress)));
        }
        save.claims().forEach(claims -> recode(StoreRecords.WORKERS, claims, WorkerClaims.class));
    }

    private static <T> void recode(String table, T value, Class<T> type) {
        StoreRecords.decode(row(table, StoreRecords.encode(value, type)), type);
    }

    private static StoredRow row(String table, byte[] value) {
        return new StoredRow(table, StoreRecords.SLICE, "", value, 1, false);
    }
}
