package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongFunction;

/**
 * Prints how long a task that lasts is away after the loss of its worker, and which losses of contact runs outlast, over
 * simulated fleets: the table of docs/CAPACITY.md.
 */
final class WorkerLossMeasurement {
    private static final long OFFSETS_MS = 3_000;
    private static final long OFFSET_STEP_MS = 30;
    private static final List<Long> CONTACT_LOST_MS = List.of(3_000L, 4_000L, 4_500L, 5_000L, 5_500L, 6_000L, 6_500L);

    private WorkerLossMeasurement() {}

    /**
     * Prints the tables.
     *
     * @param args lengths of the longest lease to measure instead of the one in force, in milliseconds
     */
    public static void main(String[] args) {
        if (args.length == 0) {
            print(SchedulerFixture.LIMITS);
        }
        for (String arg : args) {
            SchedulerLimits limits = SchedulerFixture.LIMITS;
            print(new SchedulerLimits(Long.parseLong(arg), limits.longestLeaseMs(), limits.stopMs(), 0));
        }
    }

    private static void print(SchedulerLimits limits) {
        System.out.println("limits " + limits);
        for (WorkerLossScenario.Loss loss : WorkerLossScenario.Loss.values()) {
            for (WorkerLossScenario.Trouble trouble : WorkerLossScenario.Trouble.values()) {
                printAway(loss + " " + trouble, offset -> new WorkerLossScenario(limits, offset).lose(loss, trouble));
            }
        }
        printAway(
                "GONE SLOW_STORE, SLOW_ADVICE",
                offset -> new WorkerLossScenario(limits, offset)
                        .lose(
                                WorkerLossScenario.Loss.GONE,
                                WorkerLossScenario.Trouble.SLOW_STORE,
                                WorkerLossScenario.Trouble.SLOW_ADVICE));
        printLapsed("cut off", limits, WorkerLossScenario::cutOff);
        printLapsed("store away", limits, WorkerLossScenario::storeAway);
        printLapsed("leader lost", limits, WorkerLossScenario::loseLeader);
    }

    private static void printAway(String title, LongFunction<WorkerLossScenario> play) {
        List<Long> away = new ArrayList<>();
        int never = 0;
        int twice = 0;
        for (long offset = 0; offset < OFFSETS_MS; offset += OFFSET_STEP_MS) {
            WorkerLossScenario played = play.apply(offset);
            twice += played.startedTwice() ? 1 : 0;
            if (played.awayMs().isPresent()) {
                away.add(played.awayMs().getAsLong());
            } else {
                never++;
            }
        }
        Collections.sort(away);
        System.out.printf(
                "%-24s median %5d p99 %5d worst %5d never %d twice %d%n",
                title, away.get(away.size() / 2), away.get((away.size() - 1) * 99 / 100), away.getLast(), never, twice);
    }

    private static void printLapsed(
            String title, SchedulerLimits limits, BiFunction<WorkerLossScenario, Long, WorkerLossScenario> play) {
        StringBuilder line = new StringBuilder(title);
        for (long lostMs : CONTACT_LOST_MS) {
            int lapsed = 0;
            int all = 0;
            for (long offset = 0; offset < OFFSETS_MS; offset += OFFSET_STEP_MS) {
                all++;
                lapsed += play.apply(new WorkerLossScenario(limits, offset), lostMs)
                                .lapsed()
                        ? 1
                        : 0;
            }
            line.append(" | ")
                    .append(lostMs)
                    .append(": ")
                    .append(lapsed)
                    .append('/')
                    .append(all);
        }
        System.out.println(line);
    }
}
