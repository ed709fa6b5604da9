package org.acaciafold.entry;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Installs handlers for signals of the operating system.
 *
 * <p>The JDK has no supported API for signals. This class calls its internal {@code sun.misc.Signal} by reflection,
 * since direct use causes a compiler warning.
 */
final class Signals {
    private static final Logger LOG = LoggerFactory.getLogger(Signals.class);
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private Signals() {}

    /**
     * Runs a task whenever a signal arrives, in place of the default action of the runtime.
     *
     * @param name the signal's name without its prefix, such as {@code HUP}
     * @param task the task, which runs on a thread of the runtime
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
            LOG.error("cannot install a signal handler, the signal will end the process signal={}", name, e);
        }
    }
}
