package org.acaciafold.fleet.scheduling;

/** Adds the occurrences of recurring jobs when they are due. */
final class RecurrenceSystem {
    private final Tables tables;

    RecurrenceSystem(Tables tables) {
        this.tables = tables;
    }

    void run() {
        for (JobRow job : tables.active) {
            while (job.job.recurring()
                    && job.occurrencesAdded < job.occurrences()
                    && tables.wallMs >= job.dueMs(job.occurrencesAdded)) {
                job.addOccurrence();
            }
        }
    }
}
