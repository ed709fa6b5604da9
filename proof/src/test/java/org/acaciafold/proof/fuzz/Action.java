package org.acaciafold.proof.fuzz;

/** One step of a fuzz case; numbers are taken modulo what there is, durations are milliseconds. */
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

    record Hold(int key, int host) implements Action {}

    record SetLimit(int workspace, int cores, int host) implements Action {}

    record SetDomain(int domain, boolean out, int host) implements Action {}

    record KillHost(int host, int replacedAfterMs) implements Action {}

    record StopHost(int host, int replacedAfterMs) implements Action {}

    record PauseHost(int host, int ms) implements Action {}

    record PauseAtStart(int host, int ms) implements Action {}

    record SplitDomain(int domain, int host, int worker, int ms) implements Action {}

    record KillWorker(int worker, int replacedAfterMs) implements Action {}

    record FailWorker(int worker, int ms) implements Action {}

    record LeaveWorker(int worker) implements Action {}

    record CutDomains(int first, int second, int ms) implements Action {}

    record CutHost(int host, int other, int ms) implements Action {}

    record CutPlatform(int domain, int ms) implements Action {}

    record BreakTable(TableFault fault, int ms) implements Action {}

    record Disturb(int dropPercent, int duplicatePercent, int delayMs, int ms) implements Action {}

    record Pass(int ms) implements Action {}
}
