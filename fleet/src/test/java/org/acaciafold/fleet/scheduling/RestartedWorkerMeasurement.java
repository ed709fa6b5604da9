package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Prints how long a task that lasts is away after the loss of a worker that had restarted some seconds before, over
 * simulated fleets: the table of docs/incidents/restarted-workers.md.
 */
final class RestartedWorkerMeasurement {
    /** Longer than any renewal cycle. */
    private static final long OFFSETS_MS = 1_800;

    private static final long OFFSET_STEP_MS = 60;
    private static final List<Long> AGES_MS = List.of(2_000L, 4_000L, 8_000L, 12_000L, 60_000L);
    private static final List<Long> UP_MS = List.of(2_000L, 3_000L, 5_000L, 8_000L, 12_000L, 16_000L);

    /** How long after its worker the leader is lost, and the value for a leader that stays. */
    private static final List<Long> LEADER_LOST_AFTER_MS = List.of(-1L, 200L, 3_000L);

    private RestartedWorkerMeasurement() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        for (long leaderLostAfterMs : LEADER_LOST_AFTER_MS) {
            for (long ageMs : AGES_MS) {
                print(leaderLostAfterMs, ageMs);
            }
        }
    }

    private static void print(long leaderLostAfterMs, long ageMs) {
        StringBuilder line = new StringBuilder(String.format("leader lost %5d age %5d", leaderLostAfterMs, ageMs));
        for (long upMs : UP_MS) {
            List<Long> away = new ArrayList<>();
            int twice = 0;
            for (long offset = 0; offset < OFFSETS_MS; offset += OFFSET_STEP_MS) {
                RestartedWorkerScenario scenario = new RestartedWorkerScenario(ageMs + offset)
                        .restart()
                        .awaitRun()
                        .withOthers()
                        .lose(upMs);
                scenario = leaderLostAfterMs < 0
                        ? scenario.run()
                        : scenario.loseLeader(leaderLostAfterMs).run();
                twice += scenario.startedTwice() ? 1 : 0;
                away.add(scenario.awayMs().orElse(Long.MAX_VALUE));
            }
            Collections.sort(away);
            line.append(
                    String.format(" | %d: %d, %d twice %d", upMs, away.get(away.size() / 2), away.getLast(), twice));
        }
        System.out.println(line);
    }
}
