package org.acaciafold.entry;

/** The clocks, and a scheduler that runs all tasks on one thread. */
interface Timers {
    /** Returns the time of the monotonic clock in milliseconds. */
    long nowMs();

    /** Returns the time of the wall clock in milliseconds since 1970. */
    long wallMs();

    /** Schedules a task after a delay. */
    void after(long delayMs, Runnable task);

    /** Schedules a task without a delay. */
    void execute(Runnable task);
}
