package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Runs timers when a test advances the clock. */
final class ManualTimers implements Timers {
    private final Map<Long, List<Runnable>> due = new TreeMap<>();
    private long nowMs = 1_000;
    private long suspendedMs;

    @Override
    public void after(long delayMs, Runnable task) {
        due.computeIfAbsent(nowMs + delayMs, time -> new ArrayList<>()).add(task);
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return 1_700_000_000_000L + nowMs + suspendedMs;
    }

    /** Advances the wall clock but not the monotonic clock, as while the host is suspended. */
    void suspend(long ms) {
        suspendedMs += ms;
    }

    void advance(long ms) {
        long end = nowMs + ms;
        for (long time : List.copyOf(due.keySet())) {
            if (time <= end) {
                nowMs = Math.max(nowMs, time);
                due.remove(time).forEach(Runnable::run);
            }
        }
        nowMs = end;
    }
}
