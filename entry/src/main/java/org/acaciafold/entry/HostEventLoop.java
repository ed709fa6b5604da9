package org.acaciafold.entry;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.acaciafold.core.model.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** The single thread on which a host runs its logic, and the clocks. */
final class HostEventLoop implements Timers {
    private static final Logger LOG = LoggerFactory.getLogger(HostEventLoop.class);

    private final LoopResources resources;
    private final EventLoop thread;
    private final Clock clock;
    private final Clock wallClock;

    private HostEventLoop(LoopResources resources, Clock clock, Clock wallClock) {
        this.resources = resources;
        this.thread = resources.onServer(false).next();
        this.clock = clock;
        this.wallClock = wallClock;
    }

    static HostEventLoop start() {
        return new HostEventLoop(
                LoopResources.create("entry", 1, 1, true, false), Clock.system(), System::currentTimeMillis);
    }

    LoopResources resources() {
        return resources;
    }

    @Override
    public long nowMs() {
        return clock.nowMs();
    }

    @Override
    public long wallMs() {
        return wallClock.nowMs();
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(guarded(task));
    }

    @Override
    public void after(long delayMs, Runnable task) {
        thread.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Returns a signal after a delay, on this thread; the timer is cancelled when the subscription ends. */
    Mono<Void> delay(long delayMs) {
        return Mono.create(sink -> {
            Future<?> timer = thread.schedule(guarded(sink::success), delayMs, TimeUnit.MILLISECONDS);
            sink.onDispose(() -> timer.cancel(false));
        });
    }

    void every(long periodMs, Runnable task) {
        thread.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("task on the event loop failed", e);
            }
        };
    }
}
