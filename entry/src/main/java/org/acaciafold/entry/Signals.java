package org.acaciafold.entry;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles signals of the operating system.
 *
 * <p>The runtime has no supported interface for it; its own one is used by reflection, since the compiler accepts no direct
 * use without a warning.
 */
final class Signals {
    private static final Logger LOG = LoggerFactory.getLogger(Signals.class);
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private Signals() {}

    /**
     * Runs a task whenever a signal arrives, in place of what the runtime does by itself.
     *
     * @param name the signal's name without its prefix, such as {@code HUP}
     * @param task what to do; it runs on a thread of the runtime
     */
    static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName(SIGNAL);
            Class<?> handler = Class.forName(HANDLER);
            Object proxy = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        task.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException e) {
            LOG.error("signal cannot be handled and would end the process signal={}", name, e);
        }
    }
}
