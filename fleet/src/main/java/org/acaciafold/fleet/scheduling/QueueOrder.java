package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Orders the steps whose turn has come. */
final class QueueOrder {
    /** A job is worth a part of its value until this multiple of the time for the full value. */
    private static final int LATE_SPANS = 3;

    private QueueOrder() {}

    /**
     * Returns the steps that wait to start tasks, the most urgent first.
     *
     * @param tables the tables
     * @return the steps
     */
    static List<StepRow> ready(Tables tables) {
        List<Entry> entries = new ArrayList<>();
        for (JobRow job : tables.active) {
            if (!job.active()) {
                continue;
            }
            for (StepRow step : job.steps) {
                if (step.ready() && step.tasks.stream().anyMatch(TaskRow::waiting)) {
                    step.readyAtMs = step.readyAtMs < 0 ? tables.nowMs : step.readyAtMs;
                    entries.add(entry(step, tables.wallMs));
                }
            }
        }
        entries.sort(Comparator.comparingInt(Entry::lateness)
                .thenComparingInt(entry -> entry.step.job.job.route().priority())
                .thenComparingLong(Entry::objectiveMs));
        return entries.stream().map(Entry::step).toList();
    }

    private static Entry entry(StepRow step, long wallMs) {
        if (step.spec.longRunning()) {
            return new Entry(step, 0, step.job.job.acceptedAtMs());
        }
        long due = step.job.dueMs(step.occurrence);
        long span = step.job.objectiveSpanMs();
        int lateness = wallMs > due + LATE_SPANS * span ? 2 : wallMs > due + span ? 1 : 0;
        return new Entry(step, lateness, due + span);
    }

    private record Entry(StepRow step, int lateness, long objectiveMs) {}
}
