package org.acaciafold.proof.fuzz;

/**
 * Represents one step of a fuzz case.
 *
 * <p>Indexes of hosts, workers, domains and workspaces are taken modulo their number. Durations are in milliseconds,
 * except {@link Submit#seconds}.
 */
sealed interface Action {
    enum Shape {
        SERVICE,
        BATCH,
        EXCLUSIVE,
        GANG,
        TOO_LARGE
    }

    enum TableFault {
        DOWN,
        SLOW,
        LOSE_ANSWERS
    }

    record Submit(int workspace, Shape shape, int tasks, int seconds, int host) implements Action {}

    record CancelWave(int every) implements Action {}

    /** Sends a request with an idempotency key. */
    record Hold(int key, int host) implements Action {}

    record SetLimit(int workspace, int cores, int host) implements Action {}

    record SetDomain(int domain, boolean out, int host) implements Action {}

    record KillHost(int host, int replacedAfterMs) implements Action {}

    record StopHost(int host, int replacedAfterMs) implements Action {}

    record PauseHost(int host, int ms) implements Action {}

    /** Pauses a host when it is about to send its next task start to a worker. */
    record PauseAtStart(int host, int ms) implements Action {}

    /** Isolates a host and one worker of its domain from the rest of the domain and from the platform. */
    record SplitDomain(int domain, int host, int worker, int ms) implements Action {}

    record KillWorker(int worker, int replacedAfterMs) implements Action {}

    record FailWorker(int worker, int ms) implements Action {}

    record LeaveWorker(int worker) implements Action {}

    record CutDomains(int first, int second, int ms) implements Action {}

    record CutHost(int host, int other, int ms) implements Action {}

    record CutPlatform(int domain, int ms) implements Action {}

    record BreakTable(TableFault fault, int ms) implements Action {}

    /** Drops, duplicates and delays messages for a while. */
    record Disturb(int dropPercent, int duplicatePercent, int delayMs, int ms) implements Action {}

    /** Advances the clock. */
    record Pass(int ms) implements Action {}
}
