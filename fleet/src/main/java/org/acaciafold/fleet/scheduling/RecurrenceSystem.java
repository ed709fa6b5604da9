package org.acaciafold.fleet.scheduling;

/** Adds the occurrences of recurring jobs when they are due. */
final class RecurrenceSystem {
    private final Tables tables;
    private final TimeOfDay timeOfDay = new TimeOfDay();

    RecurrenceSystem(Tables tables) {
        this.tables = tables;
    }

    void run() {
        double wallMs = timeOfDay.update(tables.nowMs, tables.wallMs);
        for (JobRow job : tables.active) {
            while (job.job.recurring()
                    && job.occurrencesAdded < job.occurrences()
                    && wallMs >= job.dueMs(job.occurrencesAdded)) {
                job.addOccurrence();
            }
        }
    }
}
