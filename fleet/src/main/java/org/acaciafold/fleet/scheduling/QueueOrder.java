package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Orders the steps that are ready to start tasks. */
final class QueueOrder {
    /** A job keeps part of its value until this multiple of its objective span after it is due. */
    private static final int MAX_LATE_SPANS = 3;

    /**
     * How long tasks that last wait in the usual order. The contract allows them to be away for 9 s after a run, most of
     * which a lost worker's lease takes.
     */
    private static final long MAX_LASTING_WAIT_MS = 1_000;

    private QueueOrder() {}

    /**
     * Returns the ready steps with waiting tasks, the most urgent first.
     *
     * @param tables the tables
     * @return the steps
     */
    static List<Entry> readySteps(Tables tables) {
        List<Entry> entries = new ArrayList<>();
        for (JobRow job : tables.active) {
            if (!job.active()) {
                continue;
            }
            for (StepRow step : job.steps) {
                if (step.hasWaitingTasks() && step.ready()) {
                    step.readyAtMs = step.readyAtMs < 0 ? tables.nowMs : step.readyAtMs;
                    step.waitingSinceMs = step.waitingSinceMs < 0 ? tables.nowMs : step.waitingSinceMs;
                    entries.add(entry(step, tables));
                } else {
                    step.waitingSinceMs = -1;
                }
            }
        }
        entries.sort(Comparator.comparing(Entry::rank)
                .thenComparingInt(entry -> entry.step.job.job.route().priority())
                .thenComparingLong(Entry::objectiveMs));
        return entries;
    }

    private static Entry entry(StepRow step, Tables tables) {
        JobRow job = step.job;
        if (step.spec.longRunning()) {
            return new Entry(step, lastingRank(step, tables.nowMs), job.job.acceptedAtMs());
        }
        long due = job.dueMs(step.occurrence);
        long span = job.objectiveSpanMs();
        long endsMs = tables.wallMs + job.remainingPathMs(step.index);
        return new Entry(step, rank(endsMs, due, span, job.overRate), due + span);
    }

    private static Rank lastingRank(StepRow step, long nowMs) {
        boolean overRate = step.job.overRate;
        // jobs beyond their workspace's rate must not displace others before they have run
        boolean entitled = !overRate || step.waitingTasks().stream().anyMatch(task -> task.lastRun > 0);
        if (entitled && nowMs - step.waitingSinceMs >= MAX_LASTING_WAIT_MS) {
            return Rank.OVERDUE;
        }
        return overRate ? Rank.OVER_RATE_IN_TIME : Rank.IN_TIME;
    }

    private static Rank rank(long endsMs, long dueMs, long spanMs, boolean overRate) {
        if (endsMs <= dueMs + spanMs) {
            return overRate ? Rank.OVER_RATE_IN_TIME : Rank.IN_TIME;
        }
        if (endsMs <= dueMs + MAX_LATE_SPANS * spanMs) {
            return overRate ? Rank.OVER_RATE_LATE : Rank.LATE;
        }
        return Rank.EXPIRED;
    }

    /** Classifies what a start now can still achieve, best first. */
    enum Rank {
        /** Tasks that last and have waited too long: they are owed capacity however full the fleet is. */
        OVERDUE,
        IN_TIME,
        LATE,
        OVER_RATE_IN_TIME,
        OVER_RATE_LATE,
        EXPIRED
    }

    /**
     * A ready step with its position in the order.
     *
     * @param step the step
     * @param rank what a start now can achieve
     * @param objectiveMs the end of the time in which it has its full value, in milliseconds since 1970
     */
    record Entry(StepRow step, Rank rank, long objectiveMs) {}
}
