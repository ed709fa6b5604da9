package org.acaciafold.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * A queue of jobs: how consumers address it and the terms on which its jobs run.
 *
 * @param name the name of the queue
 * @param host the host name that consumers send
 * @param pathPrefix the prefix of the paths that belong to the queue
 * @param service the service whose workers run its tasks
 * @param priority 0 comes first
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param stretch how often its chain of work fits into the time in which a job is worth its full value
 * @param targetLatencyMs milliseconds added to that time
 * @param advice the terms of placement advice, when the queue needs it
 * @param open true when no key is needed
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        long targetLatencyMs,
        Optional<AdviceSettings> advice,
        boolean open) {
    /** Checks that nothing is missing. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(advice, "advice");
    }
}
