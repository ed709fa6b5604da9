package org.acaciafold.entry;

/** Clocks, and tasks that run later, all on one thread. */
interface Timers {
    /** Returns the steady clock in milliseconds. */
    long nowMs();

    /** Returns the time of day in milliseconds since 1970. */
    long wallMs();

    /** Runs a task after a while. */
    void after(long delayMs, Runnable task);

    /** Runs a task soon. */
    void execute(Runnable task);
}
